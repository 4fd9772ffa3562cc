/** @file Computes by when a job should have started, and whether it has slack until then or is urgent. */
import type { ServiceLevelObjective } from '../model/cluster-config.js';
import type { Job } from '../model/job.js';
import { type Timestamp, seconds, toSeconds, wallSecondsBetween } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** How long a job may wait if neither an objective of its class nor a deadline bounds its wait. */
const DEFAULT_START_WITHIN_S = 120;

/** Upper bound on the wait of a job while a machine that fits is empty, regardless of how late its deadline is. */
const MAX_SLACK_WAIT_S = 45;

/**
 * How long a job counts as urgent after its start deadline or the loss of a service replica. After that, any capacity
 * will do.
 */
const URGENT_AFTER_DEADLINE_S = 5;

const wallSeconds = (time: Date): number => time.getTime() / 1000;

/** Returns the seconds that a job has waited since its dependencies were done, or 0 if a dependency is not done. */
export const pendingSeconds = (job: Job, now: Timestamp): number =>
  job.readySince === null ? 0 : wallSecondsBetween(job.readySince, now.wall);

/**
 * Returns the submitted estimate of a task's run time in seconds, corrected by the run times of completed tasks of the
 * class.
 */
export function estimatedSeconds(state: ClusterState, job: Job): number {
  return toSeconds(job.spec.estimatedDuration) * (state.jobs.durationFactors.get(job.spec.class) ?? 1);
}

/**
 * Returns the wall time, in seconds, by which a job should have started according to the objectives of its class, its
 * deadline, and the deadlines of the jobs that depend on it.
 */
export function startDeadline(state: ClusterState, job: Job): number {
  const startWithin = startObjectiveSeconds(state, job);
  const latestStart = job.latestCompletion - estimatedSeconds(state, job);
  if (startWithin === Infinity && latestStart !== Infinity) return latestStart;
  const readyAt = wallSeconds(job.readySince ?? job.submittedAt);
  return Math.min(readyAt + (startWithin === Infinity ? DEFAULT_START_WITHIN_S : startWithin), latestStart);
}

/** Returns the seconds within which the job should start by the objectives of its class, or Infinity without one. */
function startObjectiveSeconds(state: ClusterState, job: Job): number {
  let startWithin = Infinity;
  for (const objective of state.config.objectives) {
    if (objective.class !== job.spec.class || objective.threshold === null) continue;
    const threshold = toSeconds(objective.threshold);
    if (objective.kind === 'wait') startWithin = Math.min(startWithin, threshold);
    if (objective.kind === 'finished')
      startWithin = Math.min(startWithin, Math.max(0, threshold - estimatedSeconds(state, job)));
  }
  return startWithin;
}

/** True if the job need not start within twice the longest boot time of a machine type. */
export function hasDeadlineSlack(state: ClusterState, job: Job, now: Timestamp): boolean {
  if (job.spec.kind === 'service' || pendingSeconds(job, now) > MAX_SLACK_WAIT_S) return false;
  const twoBootsSeconds = 2 * slowestBootSeconds(state);
  // Leaving capacity free is of use only if some class has an objective that requires a start within that time.
  return (
    state.config.objectives.some((objective) => requiresStartWithin(objective, twoBootsSeconds)) &&
    startDeadline(state, job) - wallSeconds(now.wall) > twoBootsSeconds
  );
}

function slowestBootSeconds(state: ClusterState): number {
  let slowest = 0;
  for (const type of state.machines.types.values()) slowest = Math.max(slowest, toSeconds(type.bootTime));
  return slowest;
}

const requiresStartWithin = ({ kind, threshold }: ServiceLevelObjective, limitSeconds: number): boolean =>
  kind === 'wait' && threshold !== null && toSeconds(threshold) < limitSeconds;

/** True if a production job should start before its image could be fetched, or has just lost a service replica. */
export function isUrgent(state: ClusterState, job: Job, now: Timestamp): boolean {
  if (job.spec.priority !== 'production') return false;
  // A lost service replica is missed at once, regardless of when its job was submitted.
  if (job.replicaLostAt !== null && now.monotonic - job.replicaLostAt < seconds(URGENT_AFTER_DEADLINE_S))
    return true;
  let fastestGbPerS = 0;
  for (const type of state.machines.types.values()) fastestGbPerS = Math.max(fastestGbPerS, type.fetchGbPerS);
  const secondsLeft = startDeadline(state, job) - wallSeconds(now.wall);
  return (
    fastestGbPerS > 0 &&
    secondsLeft > -URGENT_AFTER_DEADLINE_S &&
    secondsLeft < job.spec.imageGb / fastestGbPerS
  );
}
