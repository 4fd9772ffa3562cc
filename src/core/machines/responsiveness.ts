/** @file Whether a machine's heartbeats arrive, when it becomes suspected, and to which zone it belongs. */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type MonotonicTime, type Timestamp, seconds } from '../model/time.js';

/** Added to two and a half heartbeat intervals, because heartbeats arrive up to a quarter late and one may be lost. */
const SUSPICION_MARGIN = seconds(1);

/** Number of heartbeat intervals that workers need to find the new leader after a failover. */
const SETTLING_HEARTBEATS = 2n;

/** How long after its last heartbeat a machine becomes suspected. */
export const suspicionTimeout = (config: ClusterConfig): Duration =>
  (config.heartbeatInterval * 5n) / 2n + SUSPICION_MARGIN;

/** Whether heartbeats of the machine are missing. `lastHeartbeatAt` is 0 if it sent none in this term. */
export const isSuspected = (config: ClusterConfig, machine: Machine, now: MonotonicTime): boolean =>
  now - machine.lastHeartbeatAt > suspicionTimeout(config);

/** Whether the machine has sent a heartbeat in this term and is not suspected. */
export const isResponsive = (config: ClusterConfig, machine: Machine, now: Timestamp): boolean =>
  machine.agentEpoch > 0 && machine.lastHeartbeatAt > 0n && !isSuspected(config, machine, now.monotonic);

/** How long after the beginning of a term missing heartbeats prove nothing. */
export const failoverSettlingTime = (config: ClusterConfig): Duration =>
  suspicionTimeout(config) + config.heartbeatInterval * SETTLING_HEARTBEATS;

/** Returns the machine's zone; without a heartbeat in this term, that of a recorded assignment; '' if there is none. */
export function zoneOf(machine: Machine): string {
  if (machine.zone !== '') return machine.zone;
  for (const assignment of machine.assignments.values()) return assignment.zone;
  return '';
}
