/**
 * @file How long a leader may act after its last contact with the state store. The previous and the next leader apply
 * the same spans, so a span must never be made longer on one side alone.
 */
import type { ClusterConfig } from '../model/cluster-config.js';
import { seconds, type Duration, type MonotonicTime } from '../model/time.js';
import { withClockDrift } from '../model/clock-drift.js';

/** Allowance for delays between a decision and its effect. */
const ACKNOWLEDGEMENT_MARGIN = seconds(2);

/** Added to the latest time at which a previous leader can acknowledge heartbeats. */
const PREVIOUS_LEADER_MARGIN = seconds(0.5);

/** How long after its leadership was last confirmed a leader may start tasks. */
const START_WINDOW = seconds(3);

/**
 * How long a leader that has lost contact with the state store may continue to acknowledge heartbeats. Another
 * controller can confirm a cancellation to a user right after the last contact; from then on every task must be gone
 * within `cancellationDeadline`. A heartbeat acknowledged at the last moment renews its worker's lease for
 * `workerLease`, so the window and that lease together must fit into the deadline.
 */
export function acknowledgementWindow(config: ClusterConfig): Duration {
  const span = config.cancellationDeadline - withClockDrift(config.workerLease) - ACKNOWLEDGEMENT_MARGIN;
  return span > 0n ? span : 0n;
}

/**
 * Returns the time after which no previous leader acknowledges heartbeats, because each one lost contact with the state
 * store before this term began.
 */
export function previousLeadersDeadlineFrom(config: ClusterConfig, startedAt: MonotonicTime): MonotonicTime {
  return startedAt + withClockDrift(acknowledgementWindow(config)) + PREVIOUS_LEADER_MARGIN;
}

/** Whether a leader whose leadership was last confirmed at `confirmedAt` may still acknowledge heartbeats. */
export function mayAcknowledgeHeartbeats(
  config: ClusterConfig,
  confirmedAt: MonotonicTime,
  now: MonotonicTime,
): boolean {
  return now - confirmedAt <= acknowledgementWindow(config);
}

/** Whether the last confirmation by the state store allows starting tasks: a leader partitioned from it starts none. */
export function mayStartTasks(confirmedAt: MonotonicTime, now: MonotonicTime): boolean {
  return now - confirmedAt <= START_WINDOW;
}
