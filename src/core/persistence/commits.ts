/** @file Applies a committed transaction to the state: its pages, its cancellations and the jobs that it completes. */
import type { Job } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import { onPagesCommitted } from '../records/atomic-page-groups.js';
import { markPageCommitted } from '../records/record-changes.js';
import type { ClusterState } from '../state/cluster-state.js';
import { finishJob } from './finished-jobs.js';
import type { Transaction } from '../model/transaction.js';

/** Applies a transaction that was committed at the given revision of the state store. */
export function onTransactionCommitted(
  state: ClusterState,
  transaction: Transaction,
  modRevision: number,
  now: Timestamp,
): void {
  for (const { id, version, chunks } of transaction.pages) {
    const page = state.records.pages.get(id);
    if (page === undefined) continue;
    page.modRevision = modRevision;
    markPageCommitted(state, page, version, chunks);
  }
  onPagesCommitted(state.records, new Set(transaction.pages.map((page) => page.id)));
  for (const id of transaction.cancelledJobs) {
    state.records.unrecordedCancellations.delete(id);
    advanceModRevision(state.jobs.byId.get(id), modRevision);
  }
  for (const id of transaction.completedJobs) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    advanceModRevision(job, modRevision);
    state.records.jobsToComplete.delete(id);
    finishJob(state, job, 'done', now);
  }
}

/** Raises the job's mod revision, but never lowers it: the watch may already have delivered a later one. */
function advanceModRevision(job: Job | undefined, modRevision: number): void {
  if (job !== undefined) job.modRevision = Math.max(job.modRevision, modRevision);
}
