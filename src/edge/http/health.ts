/** @file Whether users should come to this controller. A pure decision; the load balancer asks for it. */

/** With a replica older than this a controller is unhealthy, whatever the others say. */
const MAX_REPLICA_AGE_MS = 15_000;
/** If another controller has a current replica, only ours is cut off, and users are better served there. */
const MAX_REPLICA_AGE_WITH_PEERS_MS = 3000;
/** If fewer others serve users, too much would depend on a single controller. */
const MIN_PEERS_TO_OFFLOAD_LEADER = 2;

/** What a controller's health towards users follows from. */
export interface HealthInputs {
  /** Jobs can be accepted and looked up at all. */
  readonly ready: boolean;
  /** How old the replica of the state store is. */
  readonly replicaAgeMs: number;
  /** This controller leads, and so answers all workers. */
  readonly isLeader: boolean;
  /** This controller leads, and answers workers late. */
  readonly overloaded: boolean;
  /** How many other controllers there are. */
  readonly peerCount: number;
  /** How many of them the state store has answered lately: they can serve users. */
  readonly peersServing: number;
}

/**
 * Whether users should come here. The leader alone answers workers and assigns tasks: where all other controllers can
 * serve users, and there are enough of them, it leaves users to them from the start instead of once it is overloaded.
 * A controller whose replica alone is old is no use to users either. Where no other controller serves them, being
 * unhealthy would only keep users out for longer.
 */
export function isHealthy(inputs: HealthInputs): boolean {
  if (!inputs.ready) return false;
  if (inputs.peersServing === 0) return inputs.replicaAgeMs < MAX_REPLICA_AGE_MS;
  const allPeersServe = inputs.peersServing === inputs.peerCount;
  if (inputs.isLeader && allPeersServe && inputs.peerCount >= MIN_PEERS_TO_OFFLOAD_LEADER) return false;
  return !inputs.overloaded && inputs.replicaAgeMs < MAX_REPLICA_AGE_WITH_PEERS_MS;
}
