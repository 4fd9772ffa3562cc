/** @file Scale-out requests to the cloud, their responses, and the machine kinds that the cloud recently refused. */
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { ScaleOutRequest } from '../model/scale-out.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { type MachineKind, machineKindKey } from './machine-kind.js';

/** Time for which a kind is not requested again after the cloud had too few machines of it. */
const REFUSAL_RETRY_DELAY = seconds(20);

/** Requests machines from the cloud. */
export function requestScaleOut(state: ClusterState, request: ScaleOutRequest): void {
  const { type, zone, spot, count } = request;
  emitLog(state, 'scale-out requested', { type, zone, spot, count }, 'info');
  state.effects.push({ kind: 'scale-out', request });
}

/** Adds a request, which is sent next, to the pending ones under its unique name. */
export function onScaleOutStarted(
  state: ClusterState,
  name: string,
  request: ScaleOutRequest,
  now: Timestamp,
): void {
  state.scaling.pending.set(name, { request, requestedAt: now.monotonic });
}

/** Handles the response to a request. `machines` are the names of the new machines, or null if the cloud refused. */
export function onScaleOutAnswered(
  state: ClusterState,
  name: string,
  machines: readonly string[] | null,
  now: Timestamp,
): void {
  const pending = state.scaling.pending.get(name);
  state.scaling.pending.delete(name);
  if (pending === undefined) return;
  const { type, zone, spot, count } = pending.request;
  if (machines === null || machines.length < count)
    state.scaling.refusedAt.set(machineKindKey(pending.request), now.monotonic);
  for (const machineName of machines ?? []) {
    const machine = getOrAddMachine(state, machineName, now.monotonic);
    // The worker's heartbeat arrived before the cloud's response.
    if (machine.agentEpoch > 0) continue;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.resources = null;
    state.machines.booting.set(machineName, { type, zone, spot, since: now.monotonic });
  }
}

/** Whether the cloud recently had too few machines of the kind. */
export function wasRecentlyRefused(state: ClusterState, kind: MachineKind, now: Timestamp): boolean {
  const refusedAt = state.scaling.refusedAt.get(machineKindKey(kind));
  return refusedAt !== undefined && now.monotonic - refusedAt < REFUSAL_RETRY_DELAY;
}
