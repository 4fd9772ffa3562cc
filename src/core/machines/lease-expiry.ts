/** @file When a worker's lease, and with it every task that the worker holds, has surely expired. */
import { withClockDrift } from '../model/clock-drift.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Kept beyond the latest moment at which a lease can expire by the worker's clock. */
const LEASE_EXPIRY_MARGIN = seconds(0.5);

/** From when on the worker's lease has surely expired, and every task that it held is killed. */
export function leaseExpiry(state: ClusterState, machine: Machine): MonotonicTime {
  // Until the worker has shown this term's token, an earlier leader may have acknowledged a heartbeat after we did.
  const acknowledgedAt =
    machine.fenced || machine.lastAcknowledgedAt > state.term.previousLeadersDeadline
      ? machine.lastAcknowledgedAt
      : state.term.previousLeadersDeadline;
  return acknowledgedAt + withClockDrift(state.config.workerLease) + LEASE_EXPIRY_MARGIN;
}
