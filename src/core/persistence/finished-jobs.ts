/** @file Jobs that have finished: how they leave the queues, and when they leave memory. */
import { onJobFinished } from '../jobs/dependencies.js';
import type { Job, JobStatus } from '../model/job.js';
import { seconds, type MonotonicTime, type Timestamp } from '../model/time.js';
import { releaseFinishedChunks } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import { markJobFinished } from '../state/job-table.js';

/** The demand forecast looks at what was submitted recently, finished or not. */
const FINISHED_JOB_RETENTION = seconds(120);

/** Applies a job's status as recorded: the job leaves the queues, and its dependents become ready or cancelled. */
export function finishJob(state: ClusterState, job: Job, status: JobStatus, now: Timestamp): void {
  markJobFinished(state.jobs, job, status, now.monotonic);
  releaseFinishedChunks(job);
  if (status !== 'open') onJobFinished(state, job.spec.id, status, now);
}

/**
 * Evicts jobs that have been finished for a while and of which nothing is assigned any more. What a worker still reports
 * of them is answered as for any job that is not open: its tasks are stopped, its results forgotten.
 */
export function evictFinishedJobs(state: ClusterState, now: MonotonicTime): void {
  for (const [id, finishedAt] of state.jobs.finished) {
    if (now - finishedAt < FINISHED_JOB_RETENTION) return;
    state.jobs.finished.delete(id);
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.status === 'open') continue;
    if (job.assignedCount > 0 || state.records.unrecordedCancellations.has(id)) {
      state.jobs.finished.set(id, now);
      continue;
    }
    releaseFinishedChunks(job);
    state.records.jobsToComplete.delete(id);
    state.jobs.byId.delete(id);
  }
}
