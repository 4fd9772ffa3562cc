import { chunkOf } from '../records/chunks.js';
import { assignTask } from '../assignments/assignments.js';
import type { Assignment } from '../model/assignment.js';
import type { Job, JobSpec } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import {
  fits,
  imageFetchDelay,
  isMachineAllowed,
  pickBest,
  scoreCandidate,
  type Candidate,
  type ScoredCandidate,
} from './scoring.js';
import { addResources } from './preemption.js';
import { toSeconds, type MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Ranks machines that are equally good for a job; the smallest value wins. */
export type TieBreaker = (state: ClusterState, job: Job, candidate: Candidate) => number;

/** The next attempt number for a whole gang: above all that any of its chunks has given out. */
export function nextAttempt(job: Job): number {
  let highest = 0;
  for (const chunk of job.chunks.values()) highest = Math.max(highest, chunk.highestAttempt);
  return highest + 1;
}

/** Places all of a gang's tasks in one pass, or none. Zones are tried one by one where they must be the same. */
export function assignGang(
  state: ClusterState,
  job: Job,
  candidates: readonly Candidate[],
  now: MonotonicTime,
  steer: TieBreaker,
): Assignment[] | null {
  const spec = job.spec;
  const allowed = candidates.filter(
    (candidate) =>
      isMachineAllowed(spec, candidate.machine) && !job.failuresByMachine.has(candidate.machine.name),
  );
  const zones = spec.singleZone
    ? [...new Set(allowed.map((candidate) => candidate.machine.zone))].sort()
    : [null];
  let best: { plan: Machine[]; last: number } | null = null;
  for (const zone of zones) {
    const open = allowed.filter((candidate) => zone === null || candidate.machine.zone === zone);
    const plan = inStep(state, job, open, steer);
    // The gang starts when its last image is there.
    if (plan !== null && (best === null || plan.last < best.last)) best = plan;
  }
  if (best === null) return null;
  const attempt = nextAttempt(job);
  return best.plan.map((machine, task) => {
    chunkOf(job, task);
    return assignTask(state, job, task, attempt, machine, now);
  });
}

/** Share of the time that a gang's tasks wait for one another which their images may come apart. */
const APART = 0.6;

/**
 * A plan whose images come at about the same time: a task with a cached image would give up before the others have
 * fetched theirs, and the whole attempt with it. If there is none, any plan: what is fetched helps the next attempt.
 */
function inStep(
  state: ClusterState,
  job: Job,
  open: readonly Candidate[],
  steer: TieBreaker,
): { plan: Machine[]; last: number } | null {
  const delays = new Map(
    open.map((candidate) => [candidate.machine, imageFetchDelay(job.spec, candidate, state.settings)]),
  );
  const lastOf = (plan: readonly Machine[]): number =>
    Math.max(...plan.map((machine) => delays.get(machine) ?? 0));
  const plan = planIn(state, job, open, steer);
  if (plan === null) return null;
  const last = lastOf(plan);
  const apart = toSeconds(state.config.gangStartTimeout) * APART;
  if (plan.every((machine) => last - (delays.get(machine) ?? 0) <= apart)) return { plan, last };
  const late = planIn(
    state,
    job,
    open.filter((candidate) => last - (delays.get(candidate.machine) ?? 0) <= apart),
    steer,
  );
  return late === null ? { plan, last } : { plan: late, last: lastOf(late) };
}

/** A machine with free room booked on a copy: nothing is taken unless the whole gang fits. */
interface Trial {
  readonly at: Candidate;
  row: ScoredCandidate;
}

function planIn(
  state: ClusterState,
  job: Job,
  candidates: readonly Candidate[],
  steer: TieBreaker,
): Machine[] | null {
  const spec = job.spec;
  if (holds(spec, candidates) < spec.taskCount) return null;
  const one = (candidate: Candidate): number => steer(state, job, candidate);
  let trial: Trial[] = candidates.map((at) => ({
    at,
    row: scoreCandidate(
      spec,
      { ...at, free: { ...at.free }, projected: { ...at.projected }, imagePulls: new Map(at.imagePulls) },
      state.settings,
      one,
    ),
  }));
  const inZone = new Map<string, number>();
  const plan: Machine[] = [];
  for (let t = 0; t < spec.taskCount; t++) {
    const open = spec.spreadAcrossZones
      ? trial.filter((trial) => (inZone.get(trial.at.machine.zone) ?? 0) + 1 <= Math.ceil(spec.taskCount / 2))
      : trial;
    const chosen = pickBest(
      open.map((trial) => trial.row),
      state.settings,
    );
    if (chosen === null) return null;
    const candidate = chosen.candidate;
    addResources(candidate.free, job, -1);
    addResources(candidate.projected, job, -1);
    candidate.taskCount += 1;
    if (!candidate.machine.cachedImages.has(spec.image) && !candidate.imagePulls.has(spec.image))
      candidate.imagePulls.set(spec.image, spec.imageGb);
    if (fits(spec, candidate.free) && fits(spec, candidate.projected))
      Object.assign(chosen, scoreCandidate(spec, candidate, state.settings, one));
    else trial = trial.filter((trial) => trial.row !== chosen);
    inZone.set(candidate.machine.zone, (inZone.get(candidate.machine.zone) ?? 0) + 1);
    plan.push(candidate.machine);
  }
  return plan;
}

/** How many of the tasks the machines could hold at most, counted only as far as the gang needs. */
function holds(spec: JobSpec, candidates: readonly Candidate[]): number {
  let n = 0;
  for (const { free: r } of candidates) {
    const each = Math.min(
      spec.cpus > 0 ? r.cpus / spec.cpus : spec.taskCount,
      spec.gpus > 0 ? r.gpus / spec.gpus : spec.taskCount,
      spec.memory > 0 ? r.memory / spec.memory : spec.taskCount,
    );
    n += Math.floor(each + 1e-6);
    if (n >= spec.taskCount) return n;
  }
  return n;
}
