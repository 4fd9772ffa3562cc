/** @file Scale-in requests to the cloud and their responses. A machine's `releasing` flag is set and cleared here. */
import type { Timestamp } from '../model/time.js';
import { onMachinesReleased } from '../reconciliation/instance-inventory.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Requests the release of machines, which receive no tasks from now on. */
export function requestScaleIn(state: ClusterState, names: readonly string[], reason: string): void {
  if (names.length === 0) return;
  setReleasing(state, names, true);
  state.effects.push({ kind: 'scale-in', machineNames: names, reason });
}

/** Handles the response to a scale-in request, or its absence. Machines that were not released may be used again. */
export function onScaleInAnswered(
  state: ClusterState,
  names: readonly string[],
  succeeded: boolean,
  now: Timestamp,
): void {
  if (succeeded) onMachinesReleased(state, names, now);
  else setReleasing(state, names, false);
}

function setReleasing(state: ClusterState, names: readonly string[], releasing: boolean): void {
  for (const name of names) {
    const machine = state.machines.byName.get(name);
    if (machine !== undefined) machine.releasing = releasing;
  }
}
