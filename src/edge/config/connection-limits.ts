/**
 * @file How the sockets that the settings allow are divided. Without this, workers and users that connect in a burst
 * would take the last ones, and the controller could reach neither the state store nor a worker.
 */

/** The limits on connections of each kind. */
export interface ConnectionLimits {
  /** Connections to workers for direct commands, at once. */
  readonly workerCommands: number;
  /** Inbound connections of all kinds, at once. */
  readonly inbound: number;
  /** Above so many inbound connections no more users are admitted, so that workers that reconnect still find a socket. */
  readonly userLimit: number;
  /** Above so many, users' connections are rotated: each is closed after its response, so that all get a turn. */
  readonly rotateUsersAbove: number;
  /** Above so many, workers' connections are rotated too. */
  readonly rotateWorkersAbove: number;
}

/** The limits of a controller whose settings name none. */
const UNLIMITED: ConnectionLimits = {
  workerCommands: 256,
  inbound: Infinity,
  userLimit: Infinity,
  rotateUsersAbove: Infinity,
  rotateWorkersAbove: Infinity,
};

/** For the connections to state store, cloud and other controllers, the listeners, and the engine itself. */
const RESERVED_SOCKETS = 32;
const WORKER_COMMANDS_SHARE = 0.08;
const MIN_WORKER_COMMANDS = 8;
/** Inbound connections that only workers may use. */
const WORKERS_ONLY_SHARE = 0.04;
const MIN_WORKERS_ONLY = 4;
/**
 * Users send a request every few seconds and keep their connection. Were new ones merely refused, those that have a
 * connection would be served for good and the others never, though a single request takes little time. Seen in a
 * storm: 1,760 of 1,760 connections on the one controller that was left.
 */
const ROTATE_USERS_SHARE = 0.75;
/** With fewer sockets a controller cannot run at all. */
export const MIN_SOCKETS = 64;

/** Divides the sockets that the settings allow; null: they set no limit. */
export function connectionLimitsFor(maxSockets: number | null): ConnectionLimits {
  if (maxSockets === null) return UNLIMITED;
  const workerCommands = Math.max(MIN_WORKER_COMMANDS, Math.floor(maxSockets * WORKER_COMMANDS_SHARE));
  const inbound = maxSockets - RESERVED_SOCKETS - workerCommands;
  const workersOnly = Math.max(MIN_WORKERS_ONLY, Math.floor(maxSockets * WORKERS_ONLY_SHARE));
  const userLimit = inbound - workersOnly;
  return {
    workerCommands,
    inbound,
    userLimit,
    rotateUsersAbove: Math.floor(userLimit * ROTATE_USERS_SHARE),
    // The other half stays free for workers that connect while connections are being rotated.
    rotateWorkersAbove: userLimit + Math.floor(workersOnly / 2),
  };
}
