/** @file When a worker lease, and with it every task of that worker, has certainly expired. */
import { withClockDrift } from '../model/clock-drift.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Added to the latest time at which a lease can expire by the worker's clock. */
const LEASE_EXPIRY_MARGIN = seconds(0.5);

/** Returns the time from which the worker's lease has certainly expired and all of its tasks have been killed. */
export function leaseExpiry(state: ClusterState, machine: Machine): MonotonicTime {
  // Until the worker reports this term's token, a previous leader may have acknowledged a heartbeat after this leader.
  const acknowledgedAt =
    machine.hasShownTermToken || machine.lastAcknowledgedAt > state.term.previousLeadersDeadline
      ? machine.lastAcknowledgedAt
      : state.term.previousLeadersDeadline;
  return acknowledgedAt + withClockDrift(state.config.workerLease) + LEASE_EXPIRY_MARGIN;
}
