/** @file Completion of jobs: once every task has a result, or, for a gang, once the first task has one. */
import type { Job } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import { addCompletedTask, getOrCreateChunk } from '../records/chunks.js';
import { markChunkChanged, markJobUrgent } from '../records/record-changes.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Queues the job to be committed as done after all its results are committed. Services are never done. */
function requestCompletion(state: ClusterState, job: Job, now: MonotonicTime): void {
  if (job.status !== 'open' || job.completionRequested || job.spec.kind === 'service') return;
  job.completionRequested = true;
  state.records.jobsToComplete.set(job.spec.id, now);
  markJobUrgent(state.records, job);
}

/** Requests completion if every task of the job has a result. */
export function requestCompletionIfAllDone(state: ClusterState, job: Job, now: MonotonicTime): void {
  if (job.completedTasks.size === job.spec.taskCount) requestCompletion(state, job, now);
}

/**
 * Completes a gang: once one task is done, all are done, including a task whose machine never reported its result.
 * Without this, a gang whose last task was lost with its machine waited forever, neither done nor assigned again.
 */
export function completeGang(state: ClusterState, job: Job, now: MonotonicTime): void {
  for (const taskIndex of job.unassignedTasks) {
    const chunk = getOrCreateChunk(job, taskIndex);
    job.unassignedTasks.delete(taskIndex);
    addCompletedTask(chunk, taskIndex);
    markChunkChanged(state, job, chunk, true, now);
  }
  state.jobs.pending.delete(job.spec.id);
  requestCompletionIfAllDone(state, job, now);
}
