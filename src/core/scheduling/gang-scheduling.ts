/** @file Assigns all tasks of a gang in one cycle, or none. */
import { assignTask, mayAssignGang } from '../assignments/assignments.js';
import { completeGang } from '../assignments/job-completion.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import {
  NO_GANG_CAPACITY,
  PREVIOUS_ATTEMPT_ENDING,
  QUOTA_EXCEEDED,
  TOO_MANY_ASSIGNMENTS,
} from '../model/pending-reasons.js';
import { seconds } from '../model/time.js';
import { type Candidate, reserveTask } from './candidates.js';
import { type SchedulingCycle, feasibleCandidates } from './cycle-context.js';
import { planGang } from './gang-plan.js';

/** A gang without capacity that was first seen longer ago than this may again use the machines on which it failed. */
const CLEAR_FAILURES_AFTER = seconds(30);

/**
 * Assigns the gang if its previous attempt has ended, its team's quota allows all of its tasks and there is capacity
 * for them. If one of its tasks has completed, completes the gang instead.
 */
export function scheduleGang(cycle: SchedulingCycle, job: Job): void {
  const { state, now } = cycle;
  if (job.completedTasks.size > 0) return completeGang(state, job, now.monotonic);
  if (job.assignedCount > 0 || job.unassignedTasks.size !== job.spec.taskCount) {
    job.pendingReason = PREVIOUS_ATTEMPT_ENDING;
    return;
  }
  if (!state.jobs.quotas.allows(job.spec, job.spec.taskCount)) {
    job.pendingReason = QUOTA_EXCEEDED;
    return;
  }
  if (!mayAssignGang(state, job)) {
    job.pendingReason = TOO_MANY_ASSIGNMENTS;
    return;
  }
  const feasible = feasibleCandidates(cycle, job);
  const machines = planPreferringSchedulable(cycle, job, feasible);
  if (machines === null) {
    job.pendingReason = NO_GANG_CAPACITY;
    if (job.failuresByMachine.size > 0 && now.monotonic - job.firstSeenAt > CLEAR_FAILURES_AFTER)
      job.failuresByMachine.clear();
    return;
  }
  assignGang(cycle, job, machines, feasible);
}

/** Returns a plan without draining machines if there is one, otherwise one that may use them, or null. */
function planPreferringSchedulable(
  cycle: SchedulingCycle,
  job: Job,
  feasible: readonly Candidate[],
): readonly Machine[] | null {
  const schedulable = feasible.filter(({ machine }) => !machine.draining);
  const plan = planGang(cycle, job, schedulable);
  if (plan !== null || schedulable.length === feasible.length) return plan;
  return planGang(cycle, job, feasible);
}

function assignGang(
  { state, now }: SchedulingCycle,
  job: Job,
  machines: readonly Machine[],
  feasible: readonly Candidate[],
): void {
  const attempt = nextAttempt(job);
  for (const [task, machine] of machines.entries())
    assignTask(state, job, task, attempt, machine, now.monotonic);
  const byMachine = new Map(feasible.map((candidate) => [candidate.machine, candidate]));
  for (const machine of machines) {
    const candidate = byMachine.get(machine);
    if (candidate !== undefined) reserveTask(candidate, job.spec);
  }
}

/** Returns the next attempt number for a whole gang, higher than all that any of its chunks has used. */
function nextAttempt(job: Job): number {
  let highest = 0;
  for (const chunk of job.chunks.values()) highest = Math.max(highest, chunk.highestAttempt);
  return highest + 1;
}
