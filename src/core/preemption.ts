/** @file Room for blocked jobs of a higher level, made by stopping lower ones. */
import { type ClusterState, emitLog } from './cluster-state.js';
import { intentsOf, stopIntent, zonesTaken } from './intents.js';
import { level, mayTake } from './levels.js';
import type { Intent, Job, Machine } from './model.js';
import {
  type Candidate,
  type Free,
  type Shape,
  fitsIn,
  imageDelay,
  machineAllowed,
  zoneAllowed,
} from './placement.js';
import { holdTogether } from './starved-gangs.js';
import { waitedSeconds } from './urgency.js';
import { type Now, seconds, toSeconds } from './time.js';
import { zoneAdmits } from './zones.js';

/** What one pass knows of the machines. */
export interface Board {
  readonly open: Candidate[];
  /** The lowest level that a task on each machine has, and the lowest of all: nothing lower can be stopped. */
  readonly lowest: ReadonlyMap<Machine, number>;
  readonly floor: number;
  /** What no machine has free room for. */
  readonly full: Shape[];
}

/** What a pass knows before it places anything. */
export function newBoard(state: ClusterState, open: Candidate[]): Board {
  const lowest = new Map<Machine, number>();
  let floor = Infinity;
  for (const candidate of open) {
    let least = Infinity;
    for (const intent of candidate.machine.intents.values()) {
      const job = state.jobs.get(intent.job);
      if (job !== undefined && intent.stopping === null) least = Math.min(least, level(job));
    }
    lowest.set(candidate.machine, least);
    floor = Math.min(floor, least);
  }
  return { open, lowest, floor, full: [] };
}

/** Until a task has run so long, stopping it undoes a start that its user has waited for. */
const SETTLED_S = 30;

/**
 * What is lost if the task were stopped now, weighed by its size: its work, or, where that is saved, the time of
 * saving. A task that is still fetching or has hardly begun loses all its waiting too. Without that it looked the
 * cheapest, and the same job was stopped again and again before it ever ran.
 */
function lossOf(intent: Intent, job: Job, now: Now): number {
  const ran = intent.runningSince === null ? 0 : toSeconds(now.steady - intent.runningSince);
  const each = Math.max(job.spec.gpus, job.spec.cpus / 16);
  const size = job.spec.kind === 'gang' ? job.spec.tasks : 1;
  const work = job.spec.checkpoint > 0n ? Math.min(ran, toSeconds(job.spec.save)) : ran;
  const waited = ran < SETTLED_S ? toSeconds(now.steady - intent.created) + SETTLED_S : 0;
  return (level(job) * 10_000 + work + waited + job.stops * SETTLED_S + 1) * each * size;
}

/** Seconds that a stopped task of the job needs to save; 0: it does not save. */
export function graceFor(job: Job): number {
  return job.spec.checkpoint > 0n ? toSeconds(job.spec.save) + 1 : 0;
}

/** A second of fetching against a second of lost work, beside the 10,000 that a level counts. */
const FETCH_WEIGHT = 10;

/** Room for one task of a blocked job, and what must go for it. */
export interface Offer {
  readonly at: Candidate;
  readonly victims: readonly Intent[];
  readonly cost: number;
}

/** Adds (or takes) what a task of the job holds. */
export function add(r: Free, job: Job, sign: 1 | -1): void {
  r.cpus += sign * job.spec.cpus;
  r.gpus += sign * job.spec.gpus;
  r.memory += sign * job.spec.memory;
}

/**
 * Finds room for a blocked job in what is coming free, stopping what it may. The room is booked in the candidates'
 * `room`, so that work of a lower level does not take it while the stopped tasks are still going.
 */
export function makeRoom(
  state: ClusterState,
  job: Job,
  board: Board,
  now: Now,
  cachedOnly: boolean,
): boolean {
  const all = job.spec.kind === 'gang';
  if (all && job.placedCount > 0) return false;
  const want = all && !state.quota.allows(job.spec, job.spec.tasks) ? 0 : job.free.size;
  if (want === 0) return false;
  const own = level(job);
  const allowed = board.open.filter(
    (candidate) =>
      (own > (board.lowest.get(candidate.machine) ?? Infinity) || fitsIn(job.spec, candidate.room)) &&
      machineAllowed(job.spec, candidate.machine) &&
      zoneAdmits(state, job, candidate.machine, now) &&
      !job.failedOn.has(candidate.machine.name) &&
      (!cachedOnly || (candidate.machine.images.has(job.spec.image) && !holdsOf(candidate.machine, job))),
  );
  if (allowed.length === 0 && !all) return false;
  // Where all tasks need one zone, each zone is planned by itself: starting with the cheapest machine of any zone
  // could choose a zone that has no room for the rest, find nothing, and let lower work in until the next pass.
  const zones = zonesOf(job, allowed);
  let best: Offer[] = [];
  let bestCost = Infinity;
  const free = new Map<string | null, Offer[]>();
  for (const zone of zones) {
    const offers = planRoom(
      state,
      job,
      zone === null ? allowed : allowed.filter((candidate) => candidate.machine.zone === zone),
      want,
      now,
    );
    for (const offer of offers) book(state, job, offer, -1);
    if (offers.length === 0) continue;
    if (all && offers.length < want) {
      free.set(
        zone,
        offers.filter((offer) => offer.victims.length === 0),
      );
      continue;
    }
    const cost = offers.reduce((sum, offer) => sum + offer.cost, 0) / offers.length;
    if (cost < bestCost) [best, bestCost] = [offers, cost];
  }
  if (best.length === 0 && all) holdTogether(state, job, board, free, want, now);
  for (const offer of best) book(state, job, offer, 1);
  if (best.length > 0) state.promised.add(job.spec.id);
  for (const offer of best) for (const intent of offer.victims) stopVictim(state, intent, job, now);
  return best.length > 0;
}

/** Two replicas of one service on a machine are lost together. */
const holdsOf = (machine: Machine, job: Job): boolean =>
  [...machine.intents.values()].some((intent) => intent.job === job.spec.id);

/** The zones that are planned one by one; null: all at once. */
export const zonesOf = (job: Job, open: readonly Candidate[]): (string | null)[] =>
  job.spec.oneZone ? [...new Set(open.map((candidate) => candidate.machine.zone))].sort() : [null];

/** Books room for up to `want` tasks on the given machines, task by task at the least cost. */
function planRoom(
  state: ClusterState,
  job: Job,
  open: readonly Candidate[],
  want: number,
  now: Now,
): Offer[] {
  const taken = zonesTaken(job);
  const booked: Offer[] = [];
  const victims = new Set<Intent>();
  // Each machine's offer is worked out once, and again only after one of its own was taken.
  const offers = open.map((candidate) => offerWithFetch(state, job, candidate, victims, now));
  for (let n = 0; n < want && state.quota.allows(job.spec, n + 1); n++) {
    let best: Offer | null = null;
    let at = -1;
    for (let k = 0; k < offers.length; k++) {
      const offer = offers[k];
      if (offer === null || offer === undefined || (best !== null && offer.cost >= best.cost)) continue;
      if (!zoneAllowed(job, offer.at.machine.zone, taken)) continue;
      best = offer;
      at = k;
    }
    if (best === null) break;
    book(state, job, best, 1);
    for (const intent of best.victims) victims.add(intent);
    taken.set(best.at.machine.zone, (taken.get(best.at.machine.zone) ?? 0) + 1);
    booked.push(best);
    offers[at] = offerWithFetch(state, job, best.at, victims, now);
  }
  return booked;
}

function offerWithFetch(
  state: ClusterState,
  job: Job,
  candidate: Candidate,
  used: ReadonlySet<Intent>,
  now: Now,
): Offer | null {
  const offer = offerOf(state, job, candidate, used, now);
  if (offer === null) return null;
  return { ...offer, cost: offer.cost + imageDelay(job.spec, candidate, state.settings) * FETCH_WEIGHT };
}

/** Books an offer in the candidate's room, or takes that back. */
export function book(state: ClusterState, job: Job, offer: Offer, sign: 1 | -1): void {
  add(offer.at.room, job, sign === 1 ? -1 : 1);
  for (const intent of offer.victims) {
    const job = state.jobs.get(intent.job);
    if (job !== undefined) add(offer.at.room, job, sign);
  }
}

function stopVictim(state: ClusterState, intent: Intent, by: Job, now: Now): void {
  const job = state.jobs.get(intent.job);
  if (job === undefined || intent.stopping !== null) return;
  emitLog(
    state,
    'stopped to make room',
    {
      task: `${intent.job}/${intent.task}`,
      machine: intent.machine,
      class: job.spec.class,
      by: by.spec.id,
      byClass: by.spec.class,
    },
    'info',
  );
  // Saving takes longer than the job can wait: an array task then falls back to its last checkpoint instead.
  const hasty =
    job.spec.kind === 'array' && by.spec.priority === 'production' && hasteOf(state, by, now) < graceFor(job);
  const grace = hasty ? 0 : graceFor(job);
  job.stops += 1;
  if (job.spec.kind === 'gang')
    for (const other of intentsOf(job)) stopIntent(state, other, grace, 'preempted', now.steady);
  else stopIntent(state, intent, grace, 'preempted', now.steady);
}

/** Seconds in which the job's class should have started, by its objective. */
function hasteOf(state: ClusterState, job: Job, now: Now): number {
  let within = Infinity;
  for (const objective of state.facts.objectives)
    if (objective.kind === 'wait' && objective.class === job.spec.class && objective.within !== null)
      within = Math.min(within, toSeconds(objective.within));
  if (within === Infinity) return Infinity;
  const waited = waitedSeconds(job, now);
  const lost = job.lostAt !== null && now.steady - job.lostAt < seconds(within + 5);
  return waited > within + 5 && !lost ? Infinity : within;
}

function offerOf(
  state: ClusterState,
  job: Job,
  at: Candidate,
  used: ReadonlySet<Intent>,
  now: Now,
): Offer | null {
  if (fitsIn(job.spec, at.room)) return { at, victims: [], cost: 0 };
  const open: { i: Intent; job: Job; cost: number }[] = [];
  for (const intent of at.machine.intents.values()) {
    const j = state.jobs.get(intent.job);
    if (j === undefined || intent.stopping !== null || used.has(intent) || !mayTake(job, j)) continue;
    open.push({ i: intent, job: j, cost: lossOf(intent, j, now) });
  }
  open.sort((a, b) => a.cost - b.cost);
  const r = { ...at.room };
  const victims: Intent[] = [];
  let cost = 0;
  for (const v of open) {
    add(r, v.job, 1);
    victims.push(v.i);
    cost += v.cost;
    if (fitsIn(job.spec, r)) return { at, victims, cost };
  }
  return null;
}
