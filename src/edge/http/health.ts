/**
 * @file Decides whether the load balancer should send users to this controller. The decision is a pure function of its
 * inputs.
 */

/** A controller whose replica is older than this is unhealthy, regardless of the other controllers. */
const MAX_REPLICA_AGE_MS = 15_000;
/**
 * Limit while the state store serves another controller: then only this controller is cut off, and users are better
 * served by the other one.
 */
const MAX_REPLICA_AGE_WITH_PEERS_MS = 3000;
/** With fewer other controllers serving users, too much would depend on a single controller. */
const MIN_PEERS_TO_OFFLOAD_LEADER = 2;

/** The inputs of the health decision. */
export interface HealthInputs {
  /** True if jobs can be accepted and looked up at all. */
  readonly ready: boolean;
  /** Age of the replica of the state store. */
  readonly replicaAgeMs: number;
  /** True if this controller is the leader, which answers all workers. */
  readonly isLeader: boolean;
  /** True if this controller is the leader and answers workers late. */
  readonly overloaded: boolean;
  /** Number of other controllers. */
  readonly peerCount: number;
  /** Number of other controllers that the state store has answered recently, and that can therefore serve users. */
  readonly peersServing: number;
}

/**
 * Returns whether the load balancer should send users to this controller. Only the leader answers workers and assigns
 * tasks. If all other controllers can serve users, and there are enough of them, the leader leaves users to them from
 * the start instead of only once it is overloaded. A controller is also unhealthy if only its own replica is old,
 * because it is then of no use to users. If no other controller can serve users, a ready controller is unhealthy only
 * once its replica is `MAX_REPLICA_AGE_MS` old, because reporting unhealthy would only keep users out for longer.
 */
export function isHealthy(inputs: HealthInputs): boolean {
  if (!inputs.ready) return false;
  if (inputs.peersServing === 0) return inputs.replicaAgeMs < MAX_REPLICA_AGE_MS;
  const allPeersServe = inputs.peersServing === inputs.peerCount;
  if (inputs.isLeader && allPeersServe && inputs.peerCount >= MIN_PEERS_TO_OFFLOAD_LEADER) return false;
  return !inputs.overloaded && inputs.replicaAgeMs < MAX_REPLICA_AGE_WITH_PEERS_MS;
}
