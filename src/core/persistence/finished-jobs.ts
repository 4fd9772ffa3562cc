import { releaseFinishedChunks } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { seconds, type MonotonicTime } from '../model/time.js';

/** The demand forecast looks at what was submitted lately, finished or not. */
const KEPT = seconds(120);

/**
 * Lets go of jobs that have been over for a while and of which nothing is placed any more. What a worker still says of
 * them is answered as for any job that is not open: its tasks are stopped, its results forgotten.
 */
export function evictFinishedJobs(state: ClusterState, now: MonotonicTime): void {
  for (const [id, since] of state.jobs.finished) {
    if (now - since < KEPT) return;
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
