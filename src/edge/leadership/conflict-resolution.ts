/**
 * @file What a conflict of one of the leader's transactions means, by a replica that holds the conflict's revision.
 * Pure functions: they decide, and the commit loop acts.
 */
import type { JobStatus } from '../../core/model/job.js';
import type { Transaction } from '../../core/model/transaction.js';
import { jobKey, pageKey } from '../../wire/keys.js';
import { jobSummaryOf } from '../../wire/finished-job-summary.js';
import type { ReplicaView } from '../state-store/replica-view.js';
import type { StateStore } from '../state-store/state-store.js';

/** What is known of a transaction that conflicted while this process is still the leader. */
export interface TransactionConflict {
  readonly transaction: Transaction;
  readonly failedKeys: readonly string[];
  /** An earlier attempt had no answer: it may have been committed, and then the repeat conflicts with it. */
  readonly earlierOutcomeUnknown: boolean;
}

/** What a conflict means. */
export type ConflictResolution =
  /** The earlier attempt without an answer was committed. */
  | { readonly kind: 'already-committed'; readonly modRevision: number }
  /** Somebody else wrote one of the pages: this process must not go on as leader. */
  | { readonly kind: 'foreign-page-write' }
  /** A job changed in the meantime: the core plans its next transaction with the change. */
  | { readonly kind: 'rejected' };

/** Resolves a conflict by the replica. */
export function resolveConflict(
  conflict: TransactionConflict,
  stateStore: Pick<StateStore, 'replica' | 'revision'>,
  partition: string,
): ConflictResolution {
  const { transaction, failedKeys, earlierOutcomeUnknown } = conflict;
  const changedPage = transaction.pages.find((page) => failedKeys.includes(pageKey(partition, page.id)));
  // Pages have one writer: a page that changed was written by an earlier attempt of this very transaction.
  if (changedPage !== undefined) {
    const entry = stateStore.replica.get(pageKey(partition, changedPage.id));
    return earlierOutcomeUnknown && entry !== undefined
      ? { kind: 'already-committed', modRevision: entry.modRevision }
      : { kind: 'foreign-page-write' };
  }
  // Without pages only the jobs' own records can show whether the earlier attempt was committed.
  if (
    earlierOutcomeUnknown &&
    transaction.pages.length === 0 &&
    areJobsRecorded(transaction, stateStore.replica)
  )
    return { kind: 'already-committed', modRevision: stateStore.revision };
  return { kind: 'rejected' };
}

/** Whether the replica shows all jobs of a transaction as the transaction would leave them. */
function areJobsRecorded(transaction: Transaction, replica: ReplicaView['replica']): boolean {
  const statusOf = (id: string): JobStatus | null => {
    const entry = replica.get(jobKey(id));
    return entry === undefined ? null : jobSummaryOf(entry.value).status;
  };
  return (
    transaction.completedJobs.every((id) => statusOf(id) === 'done') &&
    transaction.cancelledJobs.every((id) => statusOf(id) === 'cancelled')
  );
}
