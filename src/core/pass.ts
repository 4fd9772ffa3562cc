import { placeGang } from './gangs.js';
import { chunkOf, finishGang, place, zonesTaken } from './jobs.js';
import { usable, viewOf } from './machines.js';
import type { Job, Machine, MachineType } from './model.js';
import {
  asksAtLeast,
  fits,
  machineAllowed,
  pick,
  score,
  zoneAllowed,
  type Candidate,
  type Scored,
} from './placement.js';
import { add, chooseStarved, level, makeRoom, markGuarantees, newBoard, type Board } from './preempt.js';
import { seconds, toSeconds, wallSeconds, type Now, type Span } from './time.js';
import { NO_ROOM_FOR_ALL, isBehind, note, type World } from './world.js';

export const NO_ROOM = 'no room';
export const ROOM_IS_MADE = 'room beside the cached image is being made';

/** When a job should have started, by the objectives of its class, or else by its own due time. */
export function wantedBy(w: World, job: Job): number {
  let within = Infinity;
  for (const o of w.facts.objectives) {
    if (o.class !== job.spec.class || o.within === null) continue;
    const span = toSeconds(o.within);
    if (o.kind === 'wait') within = Math.min(within, span);
    if (o.kind === 'finished') within = Math.min(within, Math.max(0, span - estimateOf(w, job)));
  }
  if (within === Infinity)
    within = job.spec.due === null ? 120 : Math.max(0, toSeconds(job.spec.due) - estimateOf(w, job));
  return job.submitted.getTime() / 1000 + within;
}

/** The owner's estimate, corrected by what was seen of the class. */
export function estimateOf(w: World, job: Job): number {
  return toSeconds(job.spec.estimate) * (w.pace.get(job.spec.class) ?? 1);
}

/** Below production, above all else. */
const STARVED = 999;

/** Waiting jobs in the order in which they are placed: priority, then guarantee, then due time. */
export function queue(w: World, now: Now): Job[] {
  const rows: { job: Job; level: number; by: number }[] = [];
  for (const id of w.waiting) {
    const job = w.jobs.get(id);
    if (job === undefined || job.free.size === 0) {
      w.waiting.delete(id);
      continue;
    }
    if (job.standing !== 'open' || job.notBefore > now.steady) continue;
    const starved = w.emptying?.job === id && w.emptying.first;
    rows.push({ job, level: starved ? Math.max(level(job), STARVED) : level(job), by: wantedBy(w, job) });
  }
  rows.sort((a, b) => b.level - a.level || a.by - b.by || (a.job.spec.id < b.job.spec.id ? -1 : 1));
  return rows.map((r) => r.job);
}

export function candidates(w: World, now: Now): Candidate[] {
  const out: Candidate[] = [];
  for (const m of w.machines.values()) {
    const type = w.types.get(m.type);
    if (type === undefined || !usable(w, m, now.steady)) continue;
    const view = viewOf(w, m);
    const r = { ...view.r };
    const room = { ...view.room };
    out.push({ machine: m, type, r, room, zeta: m.intents.size, pulls: pullsOn(w, m, type, now) });
  }
  return out;
}

/** Fleets up to this size are looked at whenever something changes. */
const SMALL = 50;

/** Of the time there is, passes take one part in so many at the most, but are never further apart than `FURTHEST`. */
const PASS_PART = 4n;
const FURTHEST = seconds(2);

/**
 * Passes are made when something changed, but no closer together than this: a pass looks at every machine, and on a
 * large fleet something changes dozens of times a second. On a small share of a core a pass with many blocked gangs
 * takes a third of a second; made one after the other they left no time for the workers' reports, and leases ran out.
 */
export function passGap(w: World): Span {
  const bySize = (seconds(1) / 4000n) * BigInt(Math.max(0, w.machines.size - SMALL));
  // A process that is behind places nothing that would be heard of in time: its workers' reports come first.
  if (isBehind(w)) return FURTHEST;
  const byCost = w.passTook * PASS_PART < FURTHEST ? w.passTook * PASS_PART : FURTHEST;
  return bySize > byCost ? bySize : byCost;
}

/** What a machine is fetching, by the places on it that wait for an image. */
function pullsOn(w: World, m: Machine, type: MachineType, now: Now): Map<string, number> {
  const pulls = new Map<string, number>();
  for (const i of m.intents.values()) {
    if (i.phase !== 'placed' && i.phase !== 'fetching') continue;
    const job = w.jobs.get(i.job);
    if (job === undefined || m.images.has(job.spec.image)) continue;
    const rest = Math.max(0, job.spec.imageGb - toSeconds(now.steady - i.created) * type.fetchGbPerS);
    pulls.set(job.spec.image, Math.min(pulls.get(job.spec.image) ?? Infinity, rest));
  }
  return pulls;
}

/** One round of placement over the waiting jobs. Jobs that do not fit wait a round, as in the paper. */
export function pass(w: World, now: Now): Job[] {
  w.needPass = false;
  w.passedAt = now.steady;
  rankJobs(w);
  w.promised.clear();
  w.holding = null;
  chooseStarved(w, now);
  const board = newBoard(w, candidates(w, now));
  const blocked: Job[] = [];
  for (const job of queue(w, now)) {
    const before = job.free.size;
    if (job.spec.kind === 'gang') passGang(w, job, board, now);
    else passSingly(w, job, board, now);
    if (job.free.size > 0) {
      blocked.push(job);
      // Here, in the order of the queue: what is promised to this job is not given to the ones after it.
      if (!w.promised.has(job.spec.id)) makeRoom(w, job, board, now, false);
    }
    if (job.free.size < before)
      note(w, 'placed', {
        job: job.spec.id,
        tasks: before - job.free.size,
        waited: wallSeconds(job.submitted, now.wall),
        left: job.free.size,
      });
  }
  return blocked;
}

/** What depends on the set of open jobs alone is worked out when that changes. */
function rankJobs(w: World): void {
  if (!w.rankStale) return;
  w.rankStale = false;
  markGuarantees(w);
  w.wholeNeeded = someNeedWhole(w);
}

function book(chosen: Candidate, job: Job): void {
  add(chosen.r, job, -1);
  add(chosen.room, job, -1);
  chosen.zeta += 1;
  const { image, imageGb } = job.spec;
  if (!chosen.machine.images.has(image) && !chosen.pulls.has(image)) chosen.pulls.set(image, imageGb);
}

/** The machines with room for a task of the job; none if a job that asks no more found none in this pass. */
function fittingFor(board: Board, job: Job): Candidate[] {
  if (board.full.some((s) => asksAtLeast(job.spec, s))) return [];
  const list: Candidate[] = [];
  let any = false;
  for (const c of board.open) {
    if (!fits(job.spec, c.r) || !machineAllowed(job.spec, c.machine)) continue;
    any = true;
    if (fits(job.spec, c.room)) list.push(c);
  }
  if (!any) board.full.push(job.spec);
  return list;
}

function passSingly(w: World, job: Job, board: Board, now: Now): void {
  if (!w.quota.allows(job.spec)) {
    job.waitReason = 'team limit';
    return;
  }
  const fitting = fittingFor(board, job);
  if (fitting.length > 0 && board.open.length >= LEFT_WHOLE * 8 && patient(w, job, now))
    leaveWhole(fitting, board.open);
  if (fitting.length === 0) {
    job.waitReason = NO_ROOM;
    return;
  }
  const taken = zonesTaken(job);
  const one = (c: Candidate): number => steer(w, job, c);
  let rows = fitting.map((c) => score(job.spec, c, w.knobs, one));
  for (const task of [...job.free]) {
    if (!w.quota.allows(job.spec)) {
      job.waitReason = 'team limit';
      return;
    }
    const inZones = openFirst(rows.filter((s) => zoneAllowed(job, s.cand.machine.zone, taken)));
    // The machine that failed a job comes last: it is used only if nothing else is left that fits.
    const clean =
      job.failedOn.size === 0 ? inZones : inZones.filter((s) => !job.failedOn.has(s.cand.machine.name));
    const choice = clean.length > 0 ? spreadOut(job, clean, taken) : retryable(job, inZones);
    // Where fetching the image would miss the moment, and something lower can make way next to a cached one, that
    // room is made first; the fetch is the second choice.
    if (
      choice.length > 0 &&
      hurried(w, job, now) &&
      !choice.some((s) => s.cand.machine.images.has(job.spec.image)) &&
      makeRoom(w, job, board, now, true)
    ) {
      job.waitReason = ROOM_IS_MADE;
      return;
    }
    const chosen = pick(choice, w.knobs);
    if (chosen === null) {
      job.waitReason = rows.length === 0 ? NO_ROOM : 'zone rules';
      return;
    }
    const { cand } = chosen;
    const attempt = chunkOf(job, task).attempt + 1;
    place(w, job, task, attempt, cand.machine, now.steady);
    taken.set(cand.machine.zone, (taken.get(cand.machine.zone) ?? 0) + 1);
    book(cand, job);
    if (fits(job.spec, cand.r) && fits(job.spec, cand.room))
      Object.assign(chosen, score(job.spec, cand, w.knobs, one));
    else rows = rows.filter((s) => s !== chosen);
  }
}

/** Work that is not wanted before new machines could be up twice over. */
function patient(w: World, job: Job, now: Now): boolean {
  if (job.spec.kind === 'service' || wallSeconds(job.submitted, now.wall) > PATIENT_S) return false;
  let boot = 0;
  for (const t of w.types.values()) boot = Math.max(boot, toSeconds(t.boot));
  // Only where some class is promised a start within that time is there anything to leave room for.
  const hasty = w.facts.objectives.some(
    (o) => o.kind === 'wait' && o.within !== null && toSeconds(o.within) < 2 * boot,
  );
  return hasty && wantedBy(w, job) - now.wall.getTime() / 1000 > 2 * boot;
}

/** However far off its own time is: nobody waits longer than this while a machine that fits stands empty. */
const PATIENT_S = 45;

/** Machines that patient work leaves whole, for work that comes with less time; never an eighth of what there is. */
const LEFT_WHOLE = 2;

/** Takes the empty machines out of the choice while there are few of them. */
function leaveWhole(fitting: Candidate[], open: readonly Candidate[]): void {
  let empty = 0;
  for (const c of open) if (c.zeta === 0) empty += 1;
  if (empty > LEFT_WHOLE) return;
  for (let n = fitting.length - 1; n >= 0; n--) if (fitting[n]?.zeta === 0) fitting.splice(n, 1);
}

/** Room beside a cached image is looked for so long after the moment; then any room will do. */
const LATELY_S = 5;

/** Whether the job is wanted before an image could be fetched. */
export function hurried(w: World, job: Job, now: Now): boolean {
  if (job.spec.priority !== 'production') return false;
  // A lost replica is wanted at once, whenever its job came.
  if (job.lostAt !== null && now.steady - job.lostAt < seconds(LATELY_S)) return true;
  let fastest = 0;
  for (const t of w.types.values()) fastest = Math.max(fastest, t.fetchGbPerS);
  const left = wantedBy(w, job) - now.wall.getTime() / 1000;
  return fastest > 0 && left > -LATELY_S && left < job.spec.imageGb / fastest;
}

/**
 * Equally good machines: work that may run on spot machines goes there, and replicas go where most replicas are, so
 * that the dear machines that only they need stay few, but not where one of their own job is. While some work needs most of a machine, small tasks go beside
 * others and leave whole machines free.
 */
export function steer(w: World, job: Job, c: Candidate): number {
  const breaks = c.zeta === 0 && w.wholeNeeded && !takesMost(job, c.type) ? 1 : 0;
  if (job.spec.spot) return (c.machine.spot ? 0 : 2) + breaks;
  if (job.spec.kind !== 'service') return breaks;
  let mates = 0;
  for (const i of c.machine.intents.values()) {
    // Two replicas of one service on a machine are lost together.
    if (i.job === job.spec.id) return 2;
    if (w.jobs.get(i.job)?.spec.kind === 'service') mates += 1;
  }
  return 1 / (1 + mates);
}

/** Whether two tasks of the job do not fit one machine of the type. */
function takesMost(job: Job, type: MachineType): boolean {
  return job.spec.gpus * 2 > type.gpus || job.spec.cpus * 2 > type.cpus || job.spec.memory * 2 > type.memory;
}

function someNeedWhole(w: World): boolean {
  for (const id of w.open) {
    const job = w.jobs.get(id);
    if (job !== undefined) for (const t of w.types.values()) if (takesMost(job, t)) return true;
  }
  return false;
}

/** Machines that the fleet wants to empty are taken only when no other fits. */
function openFirst(list: Scored[]): Scored[] {
  const kept = list.filter((s) => !s.cand.machine.closed);
  return kept.length > 0 ? kept : list;
}

/** Replicas go to the zones that hold fewest of their job, so that one lost zone or machine costs little. */
function spreadOut(job: Job, list: Scored[], taken: ReadonlyMap<string, number>): Scored[] {
  if (job.spec.kind !== 'service' || job.spec.tasks < 2) return list;
  let least = Infinity;
  for (const s of list) least = Math.min(least, taken.get(s.cand.machine.zone) ?? 0);
  return list.filter((s) => (taken.get(s.cand.machine.zone) ?? 0) === least);
}

/** A job failing everywhere goes round again, on the machines that failed it least often. */
function retryable(job: Job, list: Scored[]): Scored[] {
  const count = (s: Scored): number => job.failedOn.get(s.cand.machine.name) ?? 0;
  let least = Infinity;
  for (const s of list) least = Math.min(least, count(s));
  return list.filter((s) => count(s) === least);
}

function passGang(w: World, job: Job, board: Board, now: Now): void {
  if (job.doneCount > 0) return finishGang(w, job, now.steady);
  if (job.placedCount > 0 || job.free.size !== job.spec.tasks) {
    job.waitReason = 'tasks of the last attempt are not all gone';
    return;
  }
  if (!w.quota.allows(job.spec, job.spec.tasks)) {
    job.waitReason = 'team limit';
    return;
  }
  const fitting = fittingFor(board, job);
  const kept = fitting.filter((c) => !c.machine.closed);
  const placed =
    placeGang(w, job, kept, now.steady, steer) ??
    (kept.length < fitting.length ? placeGang(w, job, fitting, now.steady, steer) : null);
  if (placed === null) {
    job.waitReason = NO_ROOM_FOR_ALL;
    if (job.failedOn.size > 0 && now.steady - job.arrived > seconds(30)) job.failedOn.clear();
    return;
  }
  for (const i of placed) {
    const c = fitting.find((x) => x.machine.name === i.machine);
    if (c !== undefined) book(c, job);
  }
}
