/**
 * @file Uncommitted changes. It owns the version counter, the dirty pages and the urgent pages among them. It must
 * never write a page itself: src/core/persistence builds the transactions.
 */
import type { Job } from '../model/job.js';
import type { RecordPage, TaskChunk } from '../model/records.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { RecordState } from '../state/record-state.js';
import { hasUncommittedChanges, isComplete, releaseIdleRecord } from './chunks.js';
import { getOrAssignPage } from './record-pages.js';

/**
 * Records that a chunk has changed. A change for which a task or a user is waiting is urgent: a new assignment, or the
 * last result of a job. An ended assignment may wait and be committed with other changes, because a reader of the old
 * record only assumes that more tasks are running than really are.
 */
export function markChunkChanged(
  state: ClusterState,
  job: Job,
  chunk: TaskChunk,
  urgent: boolean,
  now: MonotonicTime,
): void {
  const { records } = state;
  chunk.cachedRecord = null;
  const page = getOrAssignPage(state, job, chunk);
  // The page then has room for more chunks, so that the results of large jobs take few pages.
  if (isComplete(job, chunk)) page.reservedBytes = null;
  markPageChanged(records, page, now);
  chunk.version = records.version;
  if (urgent) records.urgentPages.add(page.id);
}

/** Records that a page must be written. */
export function markPageChanged(records: RecordState, page: RecordPage, now: MonotonicTime): void {
  records.version += 1;
  page.version = records.version;
  if (!records.dirtyPages.has(page.id)) records.dirtyPages.set(page.id, now);
}

/** Makes a job's uncommitted changes urgent, because its user sees the job as done only after they are committed. */
export function markJobUrgent(records: RecordState, job: Job): void {
  for (const chunk of job.chunks.values())
    if (hasUncommittedChanges(chunk) && chunk.page !== null) records.urgentPages.add(chunk.page.id);
}

/** Whether the job has uncommitted changes outside the given pages. */
export function hasChangesOutside(job: Job, pageIds: ReadonlySet<number>): boolean {
  for (const chunk of job.chunks.values())
    if (hasUncommittedChanges(chunk) && (chunk.page === null || !pageIds.has(chunk.page.id))) return true;
  return false;
}

/** Returns the open jobs that have uncommitted assignments in the page. */
export function jobsStartingInPage(state: ClusterState, pageId: number): Job[] {
  const starting: Job[] = [];
  for (const chunk of state.records.pages.get(pageId)?.chunks ?? []) {
    if (!hasUncommittedChanges(chunk)) continue;
    const job = state.jobs.byId.get(chunk.jobId);
    if (job !== undefined && job.status === 'open' && hasUncommittedAssignment(chunk)) starting.push(job);
  }
  return starting;
}

function hasUncommittedAssignment(chunk: TaskChunk): boolean {
  for (const assignment of chunk.assignments.values())
    if (assignment.recordVersion > chunk.committedVersion) return true;
  return false;
}

/**
 * Records that a page was committed in its state at `version`, with the chunks that it held then. If it has changed
 * since, the page stays dirty, still with the time at which it first became dirty, and may be urgent again.
 */
export function markPageCommitted(
  state: ClusterState,
  page: RecordPage,
  version: number,
  chunks: readonly TaskChunk[],
): void {
  const { dirtyPages, urgentPages } = state.records;
  page.committedVersion = Math.max(page.committedVersion, version);
  for (const chunk of chunks) {
    chunk.committedVersion = Math.max(chunk.committedVersion, version);
    releaseIdleRecord(chunk);
  }
  const dirtySince = dirtyPages.get(page.id);
  dirtyPages.delete(page.id);
  urgentPages.delete(page.id);
  if (page.version <= page.committedVersion) return;
  dirtyPages.set(page.id, dirtySince ?? 0n);
  if (isStillUrgent(state, page)) urgentPages.add(page.id);
}

/** Whether a task or a user is waiting for a change that was made to the page while the transaction was in flight. */
function isStillUrgent(state: ClusterState, page: RecordPage): boolean {
  if (jobsStartingInPage(state, page.id).length > 0) return true;
  for (const chunk of page.chunks)
    if (hasUncommittedChanges(chunk) && state.records.jobsToComplete.has(chunk.jobId)) return true;
  return false;
}
