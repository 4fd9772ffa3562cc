/**
 * @file Divides the sockets that the settings allow. Without these limits, a burst of connections from workers and
 * users would use the last sockets, and the controller could reach neither the state store nor a worker.
 */

/** The limits on connections of each kind. */
export interface ConnectionLimits {
  /** Upper bound on concurrent connections to workers for direct commands. */
  readonly workerCommands: number;
  /** Upper bound on concurrent inbound connections of all kinds. */
  readonly inbound: number;
  /**
   * Above this number of inbound connections, no more users are admitted, so that reconnecting workers still find a
   * socket.
   */
  readonly userLimit: number;
  /**
   * Above this number of inbound connections, user connections are rotated: each is closed after its response, so that
   * all users get a turn.
   */
  readonly rotateUsersAbove: number;
  /** Above this number of inbound connections, worker connections are rotated too. */
  readonly rotateWorkersAbove: number;
}

/** The limits of a controller whose settings do not limit its sockets. */
const UNLIMITED: ConnectionLimits = {
  workerCommands: 256,
  inbound: Infinity,
  userLimit: Infinity,
  rotateUsersAbove: Infinity,
  rotateWorkersAbove: Infinity,
};

/**
 * Sockets for the connections to the state store, the cloud and other controllers, for the listeners, and for Node.js
 * itself.
 */
const RESERVED_SOCKETS = 32;
const WORKER_COMMANDS_SHARE = 0.08;
const MIN_WORKER_COMMANDS = 8;
/** Share of the sockets that is reserved for inbound connections of workers. */
const WORKERS_ONLY_SHARE = 0.04;
const MIN_WORKERS_ONLY = 4;
/**
 * Share of the user limit above which user connections are rotated. Users send a request every few seconds and keep
 * their connections open. If new users were only refused, users with a connection would be served indefinitely and the
 * others never, although a single request takes little time. This was observed during a connection storm, with 1,760 of
 * 1,760 connections on the only remaining controller.
 */
const ROTATE_USERS_SHARE = 0.75;
/** A controller cannot run at all with fewer sockets. */
export const MIN_SOCKETS = 64;

/** Divides the sockets that the settings allow; `maxSockets` is null if they set no limit. */
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
