/** @file Completion of jobs: when all results are in, and for a gang, when the first is. */
import type { Job } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import { getOrCreateChunk } from '../records/chunks.js';
import { markChunkChanged, markJobUrgent } from '../records/record-changes.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Queues the job to be committed as done after all its results. Services are never done. */
function requestCompletion(state: ClusterState, job: Job, now: MonotonicTime): void {
  if (job.status !== 'open' || job.completionRequested || job.spec.kind === 'service') return;
  job.completionRequested = true;
  state.records.jobsToComplete.set(job.spec.id, now);
  markJobUrgent(state.records, job);
}

/** Requests completion once every task of the job has its result. */
export function requestCompletionIfAllDone(state: ClusterState, job: Job, now: MonotonicTime): void {
  if (job.completedCount === job.spec.taskCount) requestCompletion(state, job, now);
}

/**
 * A gang's tasks complete together: once one is done, all are, also one whose machine never came to report it. Without
 * this a gang whose last member was lost with its machine waited for ever, neither done nor assigned again.
 */
export function completeGang(state: ClusterState, job: Job, now: MonotonicTime): void {
  for (const taskIndex of [...job.unassignedTasks]) {
    const chunk = getOrCreateChunk(job, taskIndex);
    job.unassignedTasks.delete(taskIndex);
    chunk.completedTasks.add(taskIndex);
    job.completedCount += 1;
    markChunkChanged(state, job, chunk, true, now);
  }
  state.jobs.pending.delete(job.spec.id);
  requestCompletionIfAllDone(state, job, now);
}
