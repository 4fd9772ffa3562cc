/** @file Removes machines from the state, together with everything that is stored by machine name. */
import { endAssignment } from '../assignments/assignments.js';
import { dropForgets } from '../commands/forgets.js';
import { dropStarts } from '../commands/start-tracking.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/**
 * How long the name of a terminated machine is kept: its delayed heartbeats are unlikely to arrive later than this.
 */
const TERMINATED_RETENTION = seconds(600);

/** Removes a machine that may still exist; if it sends a heartbeat, it is added again. */
export function removeMachine(state: ClusterState, name: string): void {
  state.machines.byName.delete(name);
  state.machines.booting.delete(name);
  dropStarts(state.commands, name);
  dropForgets(state.commands, name);
}

/**
 * Removes a machine that is proven to be terminated, and ends its assignments. Its name is kept for a while, because
 * otherwise a delayed heartbeat would make it look alive and tasks would be assigned to it.
 */
export function removeTerminatedMachine(
  state: ClusterState,
  machine: Machine,
  reason: string,
  now: Timestamp,
): void {
  for (const assignment of [...machine.assignments.values()])
    endAssignment(state, assignment, false, reason, now.monotonic);
  removeMachine(state, machine.name);
  state.machines.terminated.set(machine.name, now.monotonic);
  dropOldTerminations(state.machines.terminated, now.monotonic);
}

function dropOldTerminations(terminated: Map<string, MonotonicTime>, now: MonotonicTime): void {
  for (const [name, terminatedAt] of terminated) {
    if (now - terminatedAt < TERMINATED_RETENTION) break;
    terminated.delete(name);
  }
}
