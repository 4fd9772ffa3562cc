/**
 * @file Transactions that record cancellations through a dependency. They are separate from all other transactions,
 * because a user may cancel one of the jobs at the same time. The transaction is then rejected, and would reject any
 * assignments of other jobs in it too.
 */
import { seconds, type MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { RecordState } from '../state/record-state.js';
import type { Transaction } from '../model/transaction.js';

/** How often cancelled dependents are recorded, regardless of how many other changes wait for a commit. */
const CANCELLATION_INTERVAL = seconds(5);

/** Whether cancellations, if there are any, must be committed before all other changes except atomic page groups. */
export const isCancellationOverdue = (records: RecordState, now: MonotonicTime): boolean =>
  now - records.cancellationsBuiltAt >= CANCELLATION_INTERVAL;

/** Returns a transaction with as many cancelled dependents as it can hold, or null if there are none. */
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
