/** @file The order in which a scheduling cycle considers pending jobs. */
import { startDeadline } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import { hasPageInAtomicGroup } from '../records/atomic-page-groups.js';
import type { ClusterState } from '../state/cluster-state.js';
import { schedulingPriority } from './priority.js';

/** Lower than production, higher than all other jobs. */
const STARVED_GANG_PRIORITY = 999;

interface QueuedJob {
  readonly job: Job;
  readonly priority: number;
  /** Wall time in seconds by which the job should have started. */
  readonly startBy: number;
}

/** Returns the pending jobs by priority and fair share, then by the time by which they should have started. */
export function pendingJobsInOrder(state: ClusterState, now: Timestamp): Job[] {
  const queue: QueuedJob[] = [];
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.unassignedTasks.size === 0) state.jobs.pending.delete(id);
    else if (isSchedulable(state, job, now))
      queue.push({ job, priority: queuePriority(state, job), startBy: startDeadline(state, job) });
  }
  return queue.sort(compareQueued).map(({ job }) => job);
}

/** False while a job waits out its back-off after failures, and while its record pages are being rearranged. */
const isSchedulable = (state: ClusterState, job: Job, now: Timestamp): boolean =>
  job.status === 'open' && job.retryNotBefore <= now.monotonic && !hasPageInAtomicGroup(state.records, job);

function queuePriority(state: ClusterState, job: Job): number {
  const { starvedGang } = state.scheduling;
  const priority = schedulingPriority(job);
  return starvedGang?.job === job.spec.id && starvedGang.prioritized
    ? Math.max(priority, STARVED_GANG_PRIORITY)
    : priority;
}

const compareQueued = (left: QueuedJob, right: QueuedJob): number =>
  right.priority - left.priority ||
  left.startBy - right.startBy ||
  (left.job.spec.id < right.job.spec.id ? -1 : 1);
