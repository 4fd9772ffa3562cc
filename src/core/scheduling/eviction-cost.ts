/** @file What is lost when a task is stopped for another, so that the cheapest victims can be chosen. */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import { schedulingPriority } from './priority.js';

/** Until a task has run so long, stopping it undoes a start that its user has waited for. */
const RECENT_START_S = 30;

/** Seconds of lost work that one step of scheduling priority counts as: priority decides before work does. */
const SECONDS_PER_PRIORITY = 10_000;

/** CPUs that count as much as one GPU. */
const CPUS_PER_GPU = 16;

/** A second of fetching the image counts as so many seconds of lost work. */
export const IMAGE_FETCH_WEIGHT = 10;

/**
 * What is lost if the task were stopped now, weighed by its size: its work, or, where that is checkpointed, the time of
 * the checkpoint. A task that is still fetching or has hardly begun loses all its waiting too. Without that it looked
 * the cheapest, and the same job was stopped again and again before it ever ran.
 */
export function evictionCost(assignment: Assignment, job: Job, now: Timestamp): number {
  const { spec } = job;
  const runSeconds =
    assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince);
  const lostSeconds =
    spec.checkpointInterval > 0n ? Math.min(runSeconds, toSeconds(spec.checkpointDuration)) : runSeconds;
  const lostWaitSeconds =
    runSeconds < RECENT_START_S ? toSeconds(now.monotonic - assignment.createdAt) + RECENT_START_S : 0;
  const taskSize = Math.max(spec.gpus, spec.cpus / CPUS_PER_GPU);
  const stoppedTasks = spec.kind === 'gang' ? spec.taskCount : 1;
  return (
    (schedulingPriority(job) * SECONDS_PER_PRIORITY +
      lostSeconds +
      lostWaitSeconds +
      job.preemptionCount * RECENT_START_S +
      1) *
    taskSize *
    stoppedTasks
  );
}
