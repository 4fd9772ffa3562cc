/** @file By when a job should have started, and how hurried or patient it is. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../model/job.js';
import { type Timestamp, seconds, toSeconds, wallSecondsBetween } from '../model/time.js';

/** How long a job may wait for which nothing is said. */
const DEFAULT_WAIT_S = 120;

/** How long a job has waited since it could have started. */
export const pendingSeconds = (job: Job, now: Timestamp): number =>
  job.readySince === null ? 0 : wallSecondsBetween(job.readySince, now.wall);

/**
 * When a job should have started: by the objectives of its class, by its deadline, and by those of the jobs that need
 * it.
 */
export function startDeadline(state: ClusterState, job: Job): number {
  let within = Infinity;
  for (const objective of state.config.objectives) {
    if (objective.class !== job.spec.class || objective.threshold === null) continue;
    const span = toSeconds(objective.threshold);
    if (objective.kind === 'wait') within = Math.min(within, span);
    if (objective.kind === 'finished')
      within = Math.min(within, Math.max(0, span - estimatedSeconds(state, job)));
  }
  const latestStart = job.latestCompletion - estimatedSeconds(state, job);
  if (within === Infinity && latestStart !== Infinity) return latestStart;
  const since = job.readySince ?? job.submittedAt;
  return Math.min(since.getTime() / 1000 + (within === Infinity ? DEFAULT_WAIT_S : within), latestStart);
}

/** The owner's estimate, corrected by what was seen of the class. */
export function estimatedSeconds(state: ClusterState, job: Job): number {
  return toSeconds(job.spec.estimatedDuration) * (state.jobs.durationFactors.get(job.spec.class) ?? 1);
}

/** Work that is not wanted before new machines could be up twice over. */
export function hasDeadlineSlack(state: ClusterState, job: Job, now: Timestamp): boolean {
  if (job.spec.kind === 'service' || pendingSeconds(job, now) > PATIENT_S) return false;
  let boot = 0;
  for (const type of state.machines.types.values()) boot = Math.max(boot, toSeconds(type.bootTime));
  // Only where some class is promised a start within that time is there anything to leave room for.
  const hasty = state.config.objectives.some(
    (objective) =>
      objective.kind === 'wait' && objective.threshold !== null && toSeconds(objective.threshold) < 2 * boot,
  );
  return hasty && startDeadline(state, job) - now.wall.getTime() / 1000 > 2 * boot;
}

/** However far off its own time is: nobody waits longer than this while a machine that fits stands empty. */
const PATIENT_S = 45;

/** Room beside a cached image is looked for so long after the moment; then any room will do. */
const LATELY_S = 5;

/** Whether the job is wanted before an image could be fetched. */
export function isUrgent(state: ClusterState, job: Job, now: Timestamp): boolean {
  if (job.spec.priority !== 'production') return false;
  // A lost replica is wanted at once, whenever its job came.
  if (job.replicaLostAt !== null && now.monotonic - job.replicaLostAt < seconds(LATELY_S)) return true;
  let fastest = 0;
  for (const type of state.machines.types.values()) fastest = Math.max(fastest, type.fetchGbPerS);
  const left = startDeadline(state, job) - now.wall.getTime() / 1000;
  return fastest > 0 && left > -LATELY_S && left < job.spec.imageGb / fastest;
}
