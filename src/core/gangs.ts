import { chunkOf, place } from './jobs.js';
import type { Intent, Job, Machine } from './model.js';
import { fits, machineAllowed, pick, type Candidate } from './placement.js';
import { add } from './preempt.js';
import type { Steady } from './time.js';
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
  let best: { plan: Machine[]; images: number } | null = null;
  for (const zone of zones) {
    const plan = planIn(
      w,
      job,
      allowed.filter((c) => zone === null || c.machine.zone === zone),
      steer,
    );
    if (plan === null) continue;
    const images = plan.filter((m) => m.images.has(spec.image)).length;
    if (best === null || images > best.images) best = { plan, images };
  }
  if (best === null) return null;
  const attempt = nextAttempt(job);
  return best.plan.map((m, task) => {
    chunkOf(job, task);
    return place(w, job, task, attempt, m, now);
  });
}

function planIn(w: World, job: Job, candidates: readonly Candidate[], steer: Steer): Machine[] | null {
  const spec = job.spec;
  // Free room is booked on copies: nothing is taken unless the whole gang fits.
  const trial = candidates.map((c) => ({ ...c, r: { ...c.r }, room: { ...c.room } }));
  const inZone = new Map<string, number>();
  const plan: Machine[] = [];
  for (let t = 0; t < spec.tasks; t++) {
    const open = trial.filter(
      (c) =>
        fits(spec, c.r) &&
        (!spec.spread || (inZone.get(c.machine.zone) ?? 0) + 1 <= Math.ceil(spec.tasks / 2)),
    );
    const chosen = pick(spec, open, w.knobs, (c) => steer(w, job, c)) as (typeof trial)[number] | null;
    if (chosen === null) return null;
    add(chosen.r, job, -1);
    add(chosen.room, job, -1);
    const at = trial.indexOf(chosen);
    trial[at] = { ...chosen, zeta: chosen.zeta + 1 };
    inZone.set(chosen.machine.zone, (inZone.get(chosen.machine.zone) ?? 0) + 1);
    plan.push(chosen.machine);
  }
  return plan;
}
