/** @file Whether a machine's heartbeats arrive, and in which zone it counts. */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** A machine without a heartbeat for longer than this counts as unresponsive. */
export const heartbeatTimeout = (config: ClusterConfig): Duration =>
  (config.heartbeatInterval * 5n) / 2n + seconds(1);

/** Whether the machine sent a heartbeat in this term, and lately. */
export const isResponsive = (state: ClusterState, machine: Machine, now: Timestamp): boolean =>
  machine.agentEpoch > 0 &&
  machine.lastHeartbeatAt > 0n &&
  now.monotonic - machine.lastHeartbeatAt <= heartbeatTimeout(state.config);

/** The machine's zone. One without a heartbeat in this term is known by the assignments that are recorded on it. */
export function zoneOf(machine: Machine): string {
  if (machine.zone !== '') return machine.zone;
  for (const assignment of machine.assignments.values()) return assignment.zone;
  return '';
}
