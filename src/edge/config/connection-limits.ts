/**
 * How the sockets that the settings allow are shared out. Without this, workers and users that crowd in would take the
 * last ones, and the controller could reach neither the state service nor a worker.
 */
export interface ConnectionLimits {
  /** Connections straight to workers, at once. */
  readonly workerCommands: number;
  /** Connections that come in, of all kinds. */
  readonly inbound: number;
  /** With so many in, users get no more: workers that come back still find room. */
  readonly userLimit: number;
  /** From so many on, users' connections are closed after each answer, so that all take turns. */
  readonly rotateUsersAbove: number;
  /** From so many on, workers' connections are closed after each answer too. */
  readonly rotateWorkersAbove: number;
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
export const MIN_SOCKETS = 64;

/** Shares out the sockets that the settings allow. */
export function connectionLimitsFor(max: number | null): ConnectionLimits {
  if (max === null)
    return {
      workerCommands: 256,
      inbound: Infinity,
      userLimit: Infinity,
      rotateUsersAbove: Infinity,
      rotateWorkersAbove: Infinity,
    };
  const direct = Math.max(LEAST_DIRECT, Math.floor(max * DIRECT_SHARE));
  const inbound = max - OWN - direct;
  const spare = Math.max(LEAST_SPARE, Math.floor(max * SPARE_SHARE));
  const usersBelow = inbound - spare;
  const turnsAbove = Math.floor(usersBelow * TURNS_SHARE);
  // Half of what is kept free of users is left for workers that come while others take turns.
  return {
    workerCommands: direct,
    inbound,
    userLimit: usersBelow,
    rotateUsersAbove: turnsAbove,
    rotateWorkersAbove: usersBelow + Math.floor(spare / 2),
  };
}
