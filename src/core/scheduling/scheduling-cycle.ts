/**
 * @file One scheduling cycle. It considers the pending jobs in order and assigns their tasks. For tasks that remain, it
 * reserves capacity if preemption finds any; they stay pending.
 */
import { pendingSeconds } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import { TOO_MANY_ASSIGNMENTS } from '../model/pending-reasons.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { type SchedulingCycle, newSchedulingCycle } from './cycle-context.js';
import { type DisplacedReplicas, displacedReplicas, reserveForDisplaced } from './displaced-replicas.js';
import { scheduleGang } from './gang-scheduling.js';
import { pendingJobsInOrder } from './job-queue.js';
import { preemptFor } from './preemption.js';
import { schedulingPriority, updateFairShares } from './priority.js';
import { chooseStarvedGang } from './starved-gangs.js';
import { scheduleTasks } from './task-scheduling.js';
import { anyJobNeedsWholeMachine } from './tie-breaking.js';

/**
 * Runs one cycle and returns the blocked jobs: those that still have unassigned tasks. They wait for the next cycle, as
 * in the paper that scoring.ts names.
 */
export function runSchedulingCycle(state: ClusterState, now: Timestamp): Job[] {
  state.scheduling.cycleNeeded = false;
  state.scheduling.lastCycleAt = now.monotonic;
  updateJobRanking(state);
  if (state.jobs.pending.size === 0) {
    state.scheduling.starvedGang = null;
    return [];
  }
  chooseStarvedGang(state, now);
  const cycle = newSchedulingCycle(state, now);
  let unreserved = displacedReplicas(state, now);
  const blocked: Job[] = [];
  for (const job of pendingJobsInOrder(state, now)) {
    // Pending jobs precede displaced service replicas of the same priority, whose loss is not proven yet.
    if (anyHasHigherPriority(unreserved, job)) {
      reserveForDisplaced(unreserved, cycle.candidates);
      unreserved = [];
    }
    // What a job is refused for lack of assignments is not given to those after it. Otherwise tasks of lower priority
    // would take each place that becomes free, and a gang, which needs several at once, would never start.
    if (isShortOfAssignments(blocked)) job.pendingReason = TOO_MANY_ASSIGNMENTS;
    else scheduleJob(cycle, job);
    if (job.unassignedTasks.size > 0) blocked.push(job);
  }
  return blocked;
}

const isShortOfAssignments = (blocked: readonly Job[]): boolean =>
  blocked[blocked.length - 1]?.pendingReason === TOO_MANY_ASSIGNMENTS;

const anyHasHigherPriority = (displaced: readonly DisplacedReplicas[], job: Job): boolean =>
  displaced.some((replicas) => schedulingPriority(replicas.job) > schedulingPriority(job));

/**
 * If the set of active jobs has changed, updates what depends on it alone: fair shares and the need for whole machines.
 */
function updateJobRanking(state: ClusterState): void {
  if (!state.jobs.fairSharesStale) return;
  state.jobs.fairSharesStale = false;
  updateFairShares(state);
  state.scheduling.wholeMachineNeeded = anyJobNeedsWholeMachine(state);
}

function scheduleJob(cycle: SchedulingCycle, job: Job): void {
  const pendingBefore = job.unassignedTasks.size;
  if (job.spec.kind === 'gang') scheduleGang(cycle, job);
  else scheduleTasks(cycle, job);
  // Jobs preempt in queue order, so that capacity reserved for this job is not given to those after it.
  if (job.unassignedTasks.size > 0 && !cycle.jobsWithReservations.has(job.spec.id))
    preemptFor(cycle, job, false);
  if (job.unassignedTasks.size < pendingBefore)
    emitLog(cycle.state, 'tasks assigned', {
      job: job.spec.id,
      tasks: pendingBefore - job.unassignedTasks.size,
      pendingSeconds: pendingSeconds(job, cycle.now),
      stillPending: job.unassignedTasks.size,
    });
}
