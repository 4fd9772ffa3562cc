/** @file Detects when a worker's lease, and with it every task that the worker held, has surely expired. */
import { leaseExpiry } from '../machines/lease-expiry.js';
import { endAssignment } from '../assignments/assignments.js';
import type { Machine } from '../model/machine.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

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
