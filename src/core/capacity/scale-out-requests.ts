/** @file Scale-out requests to the cloud, their answers, and which kinds of machines the cloud lately refused. */
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { ScaleOutRequest } from '../model/scale-out.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { type MachineKind, machineKindKey } from './machine-kind.js';

/** How long a kind that the cloud had too few machines of is not requested again. */
const REFUSAL_RETRY_DELAY = seconds(20);

/** Has machines requested. */
export function requestScaleOut(state: ClusterState, request: ScaleOutRequest): void {
  const { type, zone, spot, count } = request;
  emitLog(state, 'scale-out requested', { type, zone, spot, count }, 'info');
  state.effects.push({ kind: 'scale-out', request });
}

/** Takes in that a request is sent, under a name of its own. */
export function onScaleOutStarted(
  state: ClusterState,
  name: string,
  request: ScaleOutRequest,
  now: Timestamp,
): void {
  state.scaling.pending.set(name, { request, requestedAt: now.monotonic });
}

/** Takes in the answer to a request: the new machines; null: the cloud refused. */
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
    // Its worker's heartbeat came before the cloud's answer.
    if (machine.agentEpoch > 0) continue;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.resources = null;
    state.machines.booting.set(machineName, { type, zone, spot, since: now.monotonic });
  }
}

/** Whether the cloud lately had too few machines of that kind. */
export function wasRecentlyRefused(state: ClusterState, kind: MachineKind, now: Timestamp): boolean {
  const refusedAt = state.scaling.refusedAt.get(machineKindKey(kind));
  return refusedAt !== undefined && now.monotonic - refusedAt < REFUSAL_RETRY_DELAY;
}
