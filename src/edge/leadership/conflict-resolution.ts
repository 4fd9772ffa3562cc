/**
 * @file Determines what a conflict of one of the leader's transactions means, from a replica that has reached the
 * conflict's revision. Pure functions: they decide, and the commit loop acts.
 */
import type { JobStatus } from '../../core/model/job.js';
import type { Transaction } from '../../core/model/transaction.js';
import { jobKey, pageKey } from '../../wire/keys.js';
import { jobSummaryOf } from '../../wire/finished-job-summary.js';
import type { ReplicaView } from '../state-store/replica-view.js';
import type { StateStore } from '../state-store/state-store.js';

/** A transaction that conflicted while this process is still the leader. */
export interface TransactionConflict {
  readonly transaction: Transaction;
  readonly failedKeys: readonly string[];
  /**
   * True if the outcome of an earlier attempt is unknown. If that attempt was committed, the retry conflicts with it.
   */
  readonly earlierOutcomeUnknown: boolean;
}

/** The meaning of a conflict. */
export type ConflictResolution =
  /** The earlier attempt, whose outcome was unknown, was committed. */
  | { readonly kind: 'already-committed'; readonly modRevision: number }
  /** Another process wrote one of the pages: this process must not continue as leader. */
  | { readonly kind: 'foreign-page-write' }
  /** A job changed in the meantime: the core takes the change into account in its next transaction. */
  | { readonly kind: 'rejected' };

/** Resolves a conflict from the contents of the replica. */
export function resolveConflict(
  conflict: TransactionConflict,
  stateStore: Pick<StateStore, 'replica' | 'revision'>,
  partition: string,
): ConflictResolution {
  const { transaction, failedKeys, earlierOutcomeUnknown } = conflict;
  const changedPage = transaction.pages.find((page) => failedKeys.includes(pageKey(partition, page.id)));
  // Pages have a single writer, so a page that changed was written by an earlier attempt of the same transaction, if
  // there was one whose outcome is unknown. Otherwise another process wrote it.
  if (changedPage !== undefined) {
    const entry = stateStore.replica.get(pageKey(partition, changedPage.id));
    return earlierOutcomeUnknown && entry !== undefined
      ? { kind: 'already-committed', modRevision: entry.modRevision }
      : { kind: 'foreign-page-write' };
  }
  // If the transaction has no pages, only the jobs' own records can show whether the earlier attempt was committed.
  if (
    earlierOutcomeUnknown &&
    transaction.pages.length === 0 &&
    areJobsRecorded(transaction, stateStore.replica)
  )
    return { kind: 'already-committed', modRevision: stateStore.revision };
  return { kind: 'rejected' };
}

/** True if the replica shows every job of a transaction with the status that the transaction gives it. */
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
