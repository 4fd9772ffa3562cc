import { chunkOf, place } from './jobs.js';
import type { Intent, Job, Machine, Spec } from './model.js';
import { fits, imageDelay, machineAllowed, pick, score, type Candidate, type Scored } from './placement.js';
import { add } from './preempt.js';
import { toSeconds, type Steady } from './time.js';
import type { World } from './world.js';

export type Steer = (w: World, job: Job, c: Candidate) => number;

/** The next attempt number for a whole gang: above all that any of its chunks has given out. */
export function nextAttempt(job: Job): number {
  let highest = 0;
  for (const c of job.chunks.values()) highest = Math.max(highest, c.attempt);
  return highest + 1;
}

/** Places all of a gang's tasks in one pass, or none. Zones are tried one by one where they must be the same. */
export function placeGang(
  w: World,
  job: Job,
  candidates: readonly Candidate[],
  now: Steady,
  steer: Steer,
): Intent[] | null {
  const spec = job.spec;
  const allowed = candidates.filter(
    (c) => machineAllowed(spec, c.machine) && !job.failedOn.has(c.machine.name),
  );
  const zones = spec.oneZone ? [...new Set(allowed.map((c) => c.machine.zone))].sort() : [null];
  let best: { plan: Machine[]; last: number } | null = null;
  for (const zone of zones) {
    const open = allowed.filter((c) => zone === null || c.machine.zone === zone);
    const plan = inStep(w, job, open, steer);
    // The gang starts when its last image is there.
    if (plan !== null && (best === null || plan.last < best.last)) best = plan;
  }
  if (best === null) return null;
  const attempt = nextAttempt(job);
  return best.plan.map((m, task) => {
    chunkOf(job, task);
    return place(w, job, task, attempt, m, now);
  });
}

/** Share of the time that a gang's tasks wait for one another which their images may come apart. */
const APART = 0.6;

/**
 * A plan whose images come at about the same time: a task with a cached image would give up before the others have
 * fetched theirs, and the whole attempt with it. If there is none, any plan: what is fetched helps the next attempt.
 */
function inStep(
  w: World,
  job: Job,
  open: readonly Candidate[],
  steer: Steer,
): { plan: Machine[]; last: number } | null {
  const delays = new Map(open.map((c) => [c.machine, imageDelay(job.spec, c, w.knobs)]));
  const lastOf = (plan: readonly Machine[]): number => Math.max(...plan.map((m) => delays.get(m) ?? 0));
  const plan = planIn(w, job, open, steer);
  if (plan === null) return null;
  const last = lastOf(plan);
  const apart = toSeconds(w.facts.gangWait) * APART;
  if (plan.every((m) => last - (delays.get(m) ?? 0) <= apart)) return { plan, last };
  const late = planIn(
    w,
    job,
    open.filter((c) => last - (delays.get(c.machine) ?? 0) <= apart),
    steer,
  );
  return late === null ? { plan, last } : { plan: late, last: lastOf(late) };
}

/** A machine with free room booked on a copy: nothing is taken unless the whole gang fits. */
interface Trial {
  readonly at: Candidate;
  row: Scored;
}

function planIn(w: World, job: Job, candidates: readonly Candidate[], steer: Steer): Machine[] | null {
  const spec = job.spec;
  if (holds(spec, candidates) < spec.tasks) return null;
  const one = (c: Candidate): number => steer(w, job, c);
  let trial: Trial[] = candidates.map((at) => ({
    at,
    row: score(spec, { ...at, r: { ...at.r }, room: { ...at.room }, pulls: new Map(at.pulls) }, w.knobs, one),
  }));
  const inZone = new Map<string, number>();
  const plan: Machine[] = [];
  for (let t = 0; t < spec.tasks; t++) {
    const open = spec.spread
      ? trial.filter((x) => (inZone.get(x.at.machine.zone) ?? 0) + 1 <= Math.ceil(spec.tasks / 2))
      : trial;
    const chosen = pick(
      open.map((x) => x.row),
      w.knobs,
    );
    if (chosen === null) return null;
    const c = chosen.cand;
    add(c.r, job, -1);
    add(c.room, job, -1);
    c.zeta += 1;
    if (!c.machine.images.has(spec.image) && !c.pulls.has(spec.image)) c.pulls.set(spec.image, spec.imageGb);
    if (fits(spec, c.r) && fits(spec, c.room)) Object.assign(chosen, score(spec, c, w.knobs, one));
    else trial = trial.filter((x) => x.row !== chosen);
    inZone.set(c.machine.zone, (inZone.get(c.machine.zone) ?? 0) + 1);
    plan.push(c.machine);
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
