/** @file When a machine is responsive, and when it is suspected: heartbeats that should have come have not. */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type MonotonicTime, seconds } from '../model/time.js';

/** Added to two and a half heartbeat intervals: heartbeats come up to a quarter late, and one may get lost. */
const SUSPICION_MARGIN = seconds(1);

/** How long after its last heartbeat a machine becomes suspected. */
export const suspicionTimeout = (config: ClusterConfig): Duration =>
  (config.heartbeatInterval * 5n) / 2n + SUSPICION_MARGIN;

/** Whether heartbeats of the machine are missing. A machine that sent none in this term has a last heartbeat of 0. */
export const isSuspected = (config: ClusterConfig, machine: Machine, now: MonotonicTime): boolean =>
  now - machine.lastHeartbeatAt > suspicionTimeout(config);

/** Whether the machine has sent a heartbeat in this term, and is not suspected. */
export const isResponsive = (config: ClusterConfig, machine: Machine, now: MonotonicTime): boolean =>
  machine.agentEpoch > 0 && machine.lastHeartbeatAt > 0n && !isSuspected(config, machine, now);

/** From the beginning of a term workers need so long to find the new leader: until then missing heartbeats prove nothing. */
export const failoverSettlingTime = (config: ClusterConfig): Duration =>
  suspicionTimeout(config) + config.heartbeatInterval * 2n;
