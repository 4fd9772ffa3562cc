/**
 * @file Transactions that record cancellations through a dependency. They are apart from all others: a user may cancel
 * one of the jobs at the same time, and the assignments of other jobs must not be rejected together with it.
 */
import { seconds, type MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { RecordState } from '../state/record-state.js';
import type { Transaction } from '../model/transaction.js';

/** However much else there is to commit, cancelled dependents are recorded this often. */
const CANCELLATION_INTERVAL = seconds(5);

/** Whether cancellations come before everything else now. */
export const isCancellationOverdue = (records: RecordState, now: MonotonicTime): boolean =>
  now - records.cancellationsBuiltAt >= CANCELLATION_INTERVAL;

/** Records cancelled dependents, as many as one transaction takes; null: there are none. */
export function buildCancellations(state: ClusterState, now: MonotonicTime): Transaction | null {
  const { records } = state;
  if (records.unrecordedCancellations.size === 0) return null;
  const jobConditions = new Map<string, number>();
  for (const id of records.unrecordedCancellations) {
    if (jobConditions.size >= state.config.maxTransactionOperations) break;
    const job = state.jobs.byId.get(id);
    if (job === undefined) records.unrecordedCancellations.delete(id);
    else jobConditions.set(id, job.modRevision);
  }
  records.cancellationsBuiltAt = now;
  return {
    fencingToken: state.term.fencingToken,
    jobConditions,
    pages: [],
    completedJobs: [],
    cancelledJobs: [...jobConditions.keys()],
  };
}
