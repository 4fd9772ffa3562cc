/** @file Whether a machine's heartbeats arrive: from when on it is suspected. And in which zone it counts. */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type MonotonicTime, type Timestamp, seconds } from '../model/time.js';

/** Added to two and a half heartbeat intervals: heartbeats come up to a quarter late, and one may get lost. */
const SUSPICION_MARGIN = seconds(1);

/** Heartbeat intervals that workers need after a failover to find the new leader. */
const SETTLING_HEARTBEATS = 2n;

/** How long after its last heartbeat a machine becomes suspected. */
export const suspicionTimeout = (config: ClusterConfig): Duration =>
  (config.heartbeatInterval * 5n) / 2n + SUSPICION_MARGIN;

/** Whether heartbeats of the machine are missing. A machine that sent none in this term has a last heartbeat of 0. */
export const isSuspected = (config: ClusterConfig, machine: Machine, now: MonotonicTime): boolean =>
  now - machine.lastHeartbeatAt > suspicionTimeout(config);

/** Whether the machine sent a heartbeat in this term, and lately. */
export const isResponsive = (config: ClusterConfig, machine: Machine, now: Timestamp): boolean =>
  machine.agentEpoch > 0 && machine.lastHeartbeatAt > 0n && !isSuspected(config, machine, now.monotonic);

/** For so long after the beginning of a term missing heartbeats prove nothing. */
export const failoverSettlingTime = (config: ClusterConfig): Duration =>
  suspicionTimeout(config) + config.heartbeatInterval * SETTLING_HEARTBEATS;

/** The machine's zone. One without a heartbeat in this term is known by the assignments that are recorded on it. */
export function zoneOf(machine: Machine): string {
  if (machine.zone !== '') return machine.zone;
  for (const assignment of machine.assignments.values()) return assignment.zone;
  return '';
}
