/** @file The cost of stopping a task for another one, by which the cheapest victims are chosen. */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import { schedulingPriority } from './priority.js';

/**
 * Seconds. Stopping a task that has run for less than this undoes a start that its user has waited for. Also the cost
 * of each earlier preemption of the job.
 */
const RECENT_START_S = 30;

/** Seconds of lost work that one step of scheduling priority counts as, so that priority outweighs lost work. */
const SECONDS_PER_PRIORITY = 10_000;

/** CPUs that count as much as one GPU. */
const CPUS_PER_GPU = 16;

/** Seconds of lost work that one second of fetching the image counts as. */
export const IMAGE_FETCH_WEIGHT = 10;

/**
 * Returns the cost of stopping the task now: its priority, its lost work and the earlier preemptions of its job,
 * weighted by the size of the task and, for a gang, by the number of its tasks. The lost work is the time that the task
 * has run, but at most the duration of a checkpoint if it makes checkpoints. For a task that is still fetching its
 * image or has run for less than `RECENT_START_S`, the time since its assignment and `RECENT_START_S` are added.
 * Without that, such tasks were the cheapest, and the same job was stopped again and again before it ever ran.
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
