/**
 * How the sockets that the settings allow are shared out. Without this, workers and users that crowd in would take the
 * last ones, and the controller could reach neither the state service nor a worker.
 */
export interface SocketShares {
  /** Connections straight to workers, at once. */
  readonly direct: number;
  /** Connections that come in, of all kinds. */
  readonly inbound: number;
  /** With so many in, users get no more: workers that come back still find room. */
  readonly usersBelow: number;
  /** From so many on, users' connections are closed after each answer, so that all take turns. */
  readonly turnsAbove: number;
  /** From so many on, workers' connections are closed after each answer too. */
  readonly workerTurnsAbove: number;
}

/** The state service's, the cloud's and the other controllers' connections, the listeners, and the engine's own. */
const OWN = 32;
const DIRECT_SHARE = 0.08;
const LEAST_DIRECT = 8;
const SPARE_SHARE = 0.04;
const LEAST_SPARE = 4;
/**
 * Users ask every few seconds and keep their connection. Once no more were let in, those who have one would be answered
 * for good and the others never, though any one question takes little time.
 */
const TURNS_SHARE = 0.75;
/** Fewer cannot carry a controller at all. */
export const LEAST_SOCKETS = 64;

/** Shares out the sockets that the settings allow. */
export function shareSockets(max: number | null): SocketShares {
  if (max === null)
    return {
      direct: 256,
      inbound: Infinity,
      usersBelow: Infinity,
      turnsAbove: Infinity,
      workerTurnsAbove: Infinity,
    };
  const direct = Math.max(LEAST_DIRECT, Math.floor(max * DIRECT_SHARE));
  const inbound = max - OWN - direct;
  const spare = Math.max(LEAST_SPARE, Math.floor(max * SPARE_SHARE));
  const usersBelow = inbound - spare;
  const turnsAbove = Math.floor(usersBelow * TURNS_SHARE);
  // Half of what is kept free of users is left for workers that come while others take turns.
  return { direct, inbound, usersBelow, turnsAbove, workerTurnsAbove: usersBelow + Math.floor(spare / 2) };
}
