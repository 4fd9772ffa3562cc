/** @file Finished jobs: how they leave the queues and when they are removed from memory. */
import { onJobFinished } from '../jobs/dependencies.js';
import type { Job, JobStatus } from '../model/job.js';
import { seconds, type MonotonicTime, type Timestamp } from '../model/time.js';
import { releaseFinishedChunks } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import { markJobFinished } from '../state/job-table.js';

/** How long finished jobs stay in memory, because the demand forecast uses recent submissions, finished or not. */
const FINISHED_JOB_RETENTION = seconds(120);

/** Applies a job's recorded status: the job leaves the queues, and its dependents become ready or cancelled. */
export function finishJob(state: ClusterState, job: Job, status: JobStatus, now: Timestamp): void {
  markJobFinished(state.jobs, job, status, now.monotonic);
  releaseFinishedChunks(job);
  if (status !== 'open') onJobFinished(state, job.spec.id, status, now);
}

/**
 * Removes from memory the jobs that finished at least `FINISHED_JOB_RETENTION` ago and have neither assignments nor an
 * unrecorded cancellation. If a worker still reports tasks of such a job, they are handled as for any job that is not
 * open: running tasks are stopped, and results are forgotten.
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
