/** @file When a silent worker's lease, and with it every task it held, is surely over. */
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { withClockDrift } from '../model/clock-drift.js';
import { endAssignment } from '../assignments/assignments.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, type MonotonicTime, seconds } from '../model/time.js';

/** From when on the lease of a silent worker is surely over, and with it every task it held. */
export function leaseExpiry(state: ClusterState, machine: Machine): MonotonicTime {
  // Until the worker has shown this term's token, an earlier owner may have answered it after we last did.
  const answered =
    machine.fenced || machine.lastAcknowledgedAt > state.term.previousLeadersDeadline
      ? machine.lastAcknowledgedAt
      : state.term.previousLeadersDeadline;
  return answered + withClockDrift(state.config.workerLease) + seconds(0.5);
}

/** Ends the places on machines whose lease is surely over. */
export function expireLeases(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (machine.assignments.size === 0 || now.monotonic < leaseExpiry(state, machine)) continue;
    let over = machine.agentEpoch;
    for (const assignment of machine.assignments.values()) over = Math.max(over, assignment.agentEpoch);
    machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, over);
    emitLog(
      state,
      'lease over: its tasks are gone',
      { machine: machine.name, session: over, tasks: machine.assignments.size },
      'info',
    );
    for (const assignment of [...machine.assignments.values()])
      endAssignment(state, assignment, false, 'lease over', now.monotonic);
    machine.reportedTasks.clear();
    machine.hasOrphanedTasks = false;
    machine.resources = null;
  }
}
