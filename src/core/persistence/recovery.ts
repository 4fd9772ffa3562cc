/**
 * @file Restores pages of records at the beginning of a term. The tasks of their assignments are assumed to be running
 * until it is proven that they are not, no matter which leader sent the start commands.
 */
import { restoreAssignment, stopAllAssignments } from '../assignments/assignments.js';
import { requestCompletionIfAllDone } from '../assignments/job-completion.js';
import type { Job } from '../model/job.js';
import type { RecordPage, TaskChunk, PageEntry } from '../model/records.js';
import type { MonotonicTime, Timestamp } from '../model/time.js';
import { addChunk, addCompletedTasks } from '../records/chunks.js';
import { addPage, poolOf, addToPage } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Restores a page. The caller must have loaded all jobs. */
export function onPageLoaded(
  state: ClusterState,
  id: number,
  entries: readonly PageEntry[],
  modRevision: number,
  now: Timestamp,
): void {
  const page = addPage(state.records, id, 'batch', modRevision);
  for (const entry of entries) {
    const job = state.jobs.byId.get(entry.jobId);
    if (job !== undefined) restoreEntry(state, page, job, entry, now.monotonic);
  }
}

function restoreEntry(
  state: ClusterState,
  page: RecordPage,
  job: Job,
  entry: PageEntry,
  now: MonotonicTime,
): void {
  // The entry of a finished job is no longer needed if it has no assignments.
  if (job.status !== 'open' && entry.record.assignments.length === 0) return;
  const chunk = restoreChunk(page, job, entry);
  for (const record of entry.record.assignments) restoreAssignment(state, job, chunk, record, now);
  if (job.unassignedTasks.size === 0) state.jobs.pending.delete(job.spec.id);
  if (job.status === 'cancelled') stopAllAssignments(state, job, 'cancelled', now);
  requestCompletionIfAllDone(state, job, now);
}

/** Adds the chunk with its results to the job and the page, and returns it. */
function restoreChunk(page: RecordPage, job: Job, { chunkIndex, record }: PageEntry): TaskChunk {
  const chunk = addChunk(job, chunkIndex, record.highestAttempt);
  addToPage(page, chunk);
  page.pool = poolOf(job);
  for (const range of record.completedTasks) {
    addCompletedTasks(chunk, range);
    job.unassignedTasks.deleteRange(range);
  }
  return chunk;
}
