import type { ClusterConfig } from '../model/cluster-config.js';
import { seconds, type Duration, type MonotonicTime } from '../model/time.js';
import { withClockDrift } from '../model/clock-drift.js';

/**
 * How long an owner that has lost the state service may go on answering reports. A user can be told "cancelled" by
 * another controller right after our last contact; from then on every task must be gone within `cancel`. A report
 * answered at the last moment keeps its worker's lease for `lease` more, so both together must fit.
 */
export function acknowledgementWindow(config: ClusterConfig): Duration {
  const margin = seconds(2);
  const span = config.cancellationDeadline - withClockDrift(config.workerLease) - margin;
  return span > 0n ? span : 0n;
}

/** From when on no earlier owner answers: each lost contact before our term began. */
export function previousLeadersDeadlineFrom(config: ClusterConfig, began: MonotonicTime): MonotonicTime {
  return began + withClockDrift(acknowledgementWindow(config)) + seconds(0.5);
}

/** Whether an owner with such a last contact may still answer reports. */
export function mayAcknowledgeHeartbeats(
  config: ClusterConfig,
  contact: MonotonicTime,
  now: MonotonicTime,
): boolean {
  return now - contact <= acknowledgementWindow(config);
}

/** Starting anything needs a recent word from the state service: an owner cut from it starts nothing. */
export function mayStartTasks(contact: MonotonicTime, now: MonotonicTime): boolean {
  return now - contact <= seconds(3);
}
