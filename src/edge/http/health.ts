/** Without a current copy for this long a controller no longer asks for users, whatever the others say. */
const STALE_MS = 15_000;
/** If another controller has a current copy, it is ours alone that is missing, and users are better served there. */
const STALE_ALONE_MS = 3000;

/** What a controller's health towards users follows from. */
export interface HealthInputs {
  /** Jobs can be taken and looked up at all. */
  readonly ready: boolean;
  /** How old the copy of the state service is. */
  readonly replicaAgeMs: number;
  /** We lead, and so answer all workers. */
  readonly isLeader: boolean;
  /** We lead, and are late with what workers ask. */
  readonly overloaded: boolean;
  /** How many other controllers there are. */
  readonly peerCount: number;
  /** How many of them were lately answered by the state service: they can serve users. */
  readonly peersServing: number;
}

/** With fewer others that serve them, users would hang on a single controller. */
const ENOUGH_OTHERS = 2;

/**
 * Whether users should come here. The leader alone answers workers and places tasks: where all other controllers can
 * serve users, and there are enough of them, it leaves users to them from the start instead of once it has fallen
 * behind. A controller whose copy is old here alone is no use to users either. Where no other serves them, going away
 * would only keep users out for longer.
 */
export function isHealthy(condition: HealthInputs): boolean {
  if (!condition.ready) return false;
  if (condition.peersServing === 0) return condition.replicaAgeMs < STALE_MS;
  if (
    condition.isLeader &&
    condition.peersServing === condition.peerCount &&
    condition.peerCount >= ENOUGH_OTHERS
  )
    return false;
  return !condition.overloaded && condition.replicaAgeMs < STALE_ALONE_MS;
}
