/**
 * @file Computes which pending array tasks can reuse the capacity of other tasks in time instead of getting capacity of
 * their own: tasks of one job can run one after another, and tasks can use the capacity that running array tasks will
 * soon free.
 */
import { estimatedSeconds, startDeadline } from '../jobs/deadline-slack.js';
import { isUsable } from '../machines/free-resources.js';
import type { Job } from '../model/job.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { MachineKind } from './machine-kind.js';

/**
 * Upper bound on the time that an array task may wait for a finishing task, as a share of the time until its start
 * deadline. The remaining part is for image fetches and tasks that finish late.
 */
const MAX_WAIT_SHARE = 0.3;

/** A running array task and the machine whose capacity it frees when it finishes. */
export interface FinishingTask extends MachineKind {
  readonly remainingS: number;
  readonly job: Job;
  /** True once a pending task is planned to reuse the capacity. */
  claimed: boolean;
}

/** Returns how many of a job's pending tasks need capacity of their own. The others can follow there in time. */
export function tasksNeedingCapacity(state: ClusterState, job: Job, bootS: number, now: Timestamp): number {
  const pending = job.unassignedTasks.size;
  if (job.spec.kind !== 'array') return pending;
  const estimateS = Math.max(estimatedSeconds(state, job), 1);
  const untilEndS = startDeadline(state, job) + estimateS - now.wall.getTime() / 1000 - bootS;
  const tasksInSequence = Math.max(1, Math.floor(Math.max(untilEndS, bootS) / estimateS));
  return Math.ceil(pending / tasksInSequence);
}

/** Returns the running array tasks on usable machines that are not being stopped, soonest to finish first. */
export function finishingTasks(state: ClusterState, now: Timestamp): FinishingTask[] {
  const finishing: FinishingTask[] = [];
  for (const machine of state.machines.byName.values()) {
    if (!isUsable(state, machine, now.monotonic)) continue;
    const { type, zone, spot } = machine;
    for (const { jobId, runningSince, stopRequest } of machine.assignments.values()) {
      const job = state.jobs.byId.get(jobId);
      if (job?.spec.kind !== 'array' || runningSince === null || stopRequest !== null) continue;
      const ranForS = toSeconds(now.monotonic - runningSince);
      const remainingS = Math.max(estimatedSeconds(state, job) - ranForS, 1);
      finishing.push({ type, zone, spot, remainingS, job, claimed: false });
    }
  }
  return finishing.sort((a, b) => a.remainingS - b.remainingS);
}

/**
 * Yields the finishing tasks that the job's tasks can wait for, soonest first. In one round of fleet sizing, each frees
 * capacity for only one pending task.
 */
export function* finishingTasksFor(
  state: ClusterState,
  job: Job,
  finishing: readonly FinishingTask[],
  now: Timestamp,
): Generator<FinishingTask> {
  if (job.spec.kind !== 'array') return;
  const maxWaitS = (startDeadline(state, job) - now.wall.getTime() / 1000) * MAX_WAIT_SHARE;
  for (const task of finishing) {
    if (task.remainingS > maxWaitS) return;
    if (!task.claimed && canFollow(job, task)) yield task;
  }
}

function canFollow({ spec }: Job, task: FinishingTask): boolean {
  const finishingSpec = task.job.spec;
  return (
    finishingSpec.gpus >= spec.gpus &&
    finishingSpec.cpus >= spec.cpus - RESOURCE_EPSILON &&
    finishingSpec.memory >= spec.memory - RESOURCE_EPSILON &&
    (!task.spot || spec.allowSpot) &&
    (spec.machineTypes === null || spec.machineTypes.includes(task.type)) &&
    (spec.zone === null || spec.zone === task.zone)
  );
}
