/** @file The order in which a scheduling cycle considers pending jobs. */
import { startDeadline } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import { hasPageInAtomicGroup } from '../records/atomic-page-groups.js';
import type { ClusterState } from '../state/cluster-state.js';
import { schedulingPriority } from './priority.js';

/** Scheduling priority of a prioritized starved gang: below production jobs, above all others. */
const STARVED_GANG_PRIORITY = 999;

interface QueuedJob {
  readonly job: Job;
  readonly priority: number;
  /** Wall time in seconds by which the job should have started. */
  readonly startBy: number;
}

/**
 * Returns the pending jobs that can be scheduled now, by priority and fair share, then by the time by which they should
 * have started. Removes jobs without unassigned tasks from the pending jobs.
 */
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

/** False during a job's retry delay after failures, and while one of its pages is in an uncommitted atomic group. */
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
