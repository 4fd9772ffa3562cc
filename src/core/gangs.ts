import { chunkOf } from './chunks.js';
import { place } from './intents.js';
import type { Intent, Job, Machine, Spec } from './model.js';
import { fitsIn, imageDelay, machineAllowed, pick, score, type Candidate, type Scored } from './placement.js';
import { add } from './preemption.js';
import { toSeconds, type Steady } from './time.js';
import type { ClusterState } from './cluster-state.js';

/** Ranks machines that are equally good for a job; the smallest value wins. */
export type Steer = (state: ClusterState, job: Job, candidate: Candidate) => number;

/** The next attempt number for a whole gang: above all that any of its chunks has given out. */
export function nextAttempt(job: Job): number {
  let highest = 0;
  for (const chunk of job.chunks.values()) highest = Math.max(highest, chunk.attempt);
  return highest + 1;
}

/** Places all of a gang's tasks in one pass, or none. Zones are tried one by one where they must be the same. */
export function placeGang(
  state: ClusterState,
  job: Job,
  candidates: readonly Candidate[],
  now: Steady,
  steer: Steer,
): Intent[] | null {
  const spec = job.spec;
  const allowed = candidates.filter(
    (candidate) => machineAllowed(spec, candidate.machine) && !job.failedOn.has(candidate.machine.name),
  );
  const zones = spec.oneZone
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
    return place(state, job, task, attempt, machine, now);
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
  steer: Steer,
): { plan: Machine[]; last: number } | null {
  const delays = new Map(
    open.map((candidate) => [candidate.machine, imageDelay(job.spec, candidate, state.settings)]),
  );
  const lastOf = (plan: readonly Machine[]): number =>
    Math.max(...plan.map((machine) => delays.get(machine) ?? 0));
  const plan = planIn(state, job, open, steer);
  if (plan === null) return null;
  const last = lastOf(plan);
  const apart = toSeconds(state.facts.gangWait) * APART;
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
  row: Scored;
}

function planIn(
  state: ClusterState,
  job: Job,
  candidates: readonly Candidate[],
  steer: Steer,
): Machine[] | null {
  const spec = job.spec;
  if (holds(spec, candidates) < spec.tasks) return null;
  const one = (candidate: Candidate): number => steer(state, job, candidate);
  let trial: Trial[] = candidates.map((at) => ({
    at,
    row: score(
      spec,
      { ...at, r: { ...at.r }, room: { ...at.room }, pulls: new Map(at.pulls) },
      state.settings,
      one,
    ),
  }));
  const inZone = new Map<string, number>();
  const plan: Machine[] = [];
  for (let t = 0; t < spec.tasks; t++) {
    const open = spec.spread
      ? trial.filter((trial) => (inZone.get(trial.at.machine.zone) ?? 0) + 1 <= Math.ceil(spec.tasks / 2))
      : trial;
    const chosen = pick(
      open.map((trial) => trial.row),
      state.settings,
    );
    if (chosen === null) return null;
    const candidate = chosen.cand;
    add(candidate.r, job, -1);
    add(candidate.room, job, -1);
    candidate.zeta += 1;
    if (!candidate.machine.images.has(spec.image) && !candidate.pulls.has(spec.image))
      candidate.pulls.set(spec.image, spec.imageGb);
    if (fitsIn(spec, candidate.r) && fitsIn(spec, candidate.room))
      Object.assign(chosen, score(spec, candidate, state.settings, one));
    else trial = trial.filter((trial) => trial.row !== chosen);
    inZone.set(candidate.machine.zone, (inZone.get(candidate.machine.zone) ?? 0) + 1);
    plan.push(candidate.machine);
  }
  return plan;
}

/** How many of the tasks the machines could hold at most, counted only as far as the gang needs. */
function holds(spec: Spec, candidates: readonly Candidate[]): number {
  let n = 0;
  for (const { r } of candidates) {
    const each = Math.min(
      spec.cpus > 0 ? r.cpus / spec.cpus : spec.tasks,
      spec.gpus > 0 ? r.gpus / spec.gpus : spec.tasks,
      spec.memory > 0 ? r.memory / spec.memory : spec.tasks,
    );
    n += Math.floor(each + 1e-6);
    if (n >= spec.tasks) return n;
  }
  return n;
}
