/** @file When a worker's lease, and with it every task that the worker held, has surely expired. */
import { endAssignment } from '../assignments/assignments.js';
import { withClockDrift } from '../model/clock-drift.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

/** Kept beyond the latest moment at which a lease can expire by the worker's clock. */
const LEASE_EXPIRY_MARGIN = seconds(0.5);

/** From when on the worker's lease has surely expired, and every task that it held is killed. */
export function leaseExpiry(state: ClusterState, machine: Machine): MonotonicTime {
  // Until the worker has shown this term's token, an earlier leader may have acknowledged a heartbeat after we did.
  const acknowledgedAt =
    machine.fenced || machine.lastAcknowledgedAt > state.term.previousLeadersDeadline
      ? machine.lastAcknowledgedAt
      : state.term.previousLeadersDeadline;
  return acknowledgedAt + withClockDrift(state.config.workerLease) + LEASE_EXPIRY_MARGIN;
}

/** Ends the assignments on machines whose lease has surely expired. */
export function expireLeases(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values())
    if (machine.assignments.size > 0 && now.monotonic >= leaseExpiry(state, machine))
      expireLease(state, machine, now);
}

function expireLease(state: ClusterState, machine: Machine, now: Timestamp): void {
  let expiredEpoch = machine.agentEpoch;
  for (const assignment of machine.assignments.values())
    expiredEpoch = Math.max(expiredEpoch, assignment.agentEpoch);
  machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, expiredEpoch);
  emitLog(
    state,
    'lease expired',
    { machine: machine.name, agentEpoch: expiredEpoch, tasks: machine.assignments.size },
    'info',
  );
  for (const assignment of [...machine.assignments.values()])
    endAssignment(state, assignment, false, 'lease expired', now.monotonic);
  machine.reportedTasks.clear();
  machine.hasOrphanedTasks = false;
  machine.resources = null;
}
