/** @file One round of placement over the waiting jobs. */
import { hasTiedPage } from './record-pages.js';
import { isUsable, viewOf } from './capacity.js';
import { chunkOf } from './chunks.js';
import { type ClusterState, NO_ROOM_FOR_ALL, emitLog, isBehind } from './cluster-state.js';
import { placeGang } from './gangs.js';
import { finishGang, place, zonesTaken } from './intents.js';
import { level, markGuarantees } from './levels.js';
import type { Job, Machine, MachineType } from './model.js';
import {
  type Candidate,
  asksAtLeast,
  fitsIn,
  machineAllowed,
  pick,
  score,
  zoneAllowed,
} from './placement.js';
import { type Board, add, makeRoom, newBoard } from './preemption.js';
import { chooseStarved } from './starved-gangs.js';
import { LEFT_WHOLE, leaveWhole, openFirst, retryable, someNeedWhole, spreadOut, steer } from './steering.js';
import { type Now, type Span, seconds, toSeconds } from './time.js';
import { displacedReplicas, keepRoomForDisplaced, zoneAdmits } from './zones.js';
import { isHurried, isPatient, waitedSeconds, wantedBy } from './urgency.js';

/** Why a job waits: no machine has room for a task. */
export const NO_ROOM = 'no room';

/** Why a job waits: lower work is being stopped for it. */
export const ROOM_IS_MADE = 'room beside the cached image is being made';

/** Below production, above all else. */
const STARVED = 999;

/** Waiting jobs in the order in which they are placed: priority, then guarantee, then due time. */
export function waitingInOrder(state: ClusterState, now: Now): Job[] {
  const rows: { job: Job; level: number; by: number }[] = [];
  for (const id of state.waiting) {
    const job = state.jobs.get(id);
    if (job === undefined || job.free.size === 0) {
      state.waiting.delete(id);
      continue;
    }
    if (job.standing !== 'open' || job.notBefore > now.steady || hasTiedPage(state, job)) continue;
    const starved = state.emptying?.job === id && state.emptying.first;
    rows.push({ job, level: starved ? Math.max(level(job), STARVED) : level(job), by: wantedBy(state, job) });
  }
  rows.sort((a, b) => b.level - a.level || a.by - b.by || (a.job.spec.id < b.job.spec.id ? -1 : 1));
  return rows.map((r) => r.job);
}

/** The machines that may take tasks now, with what is free on them. */
export function listCandidates(state: ClusterState, now: Now): Candidate[] {
  const out: Candidate[] = [];
  for (const machine of state.machines.values()) {
    state.machinesScanned += 1;
    const type = state.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now.steady)) continue;
    const view = viewOf(state, machine);
    const r = { ...view.r };
    const room = { ...view.room };
    out.push({
      machine: machine,
      type,
      r,
      room,
      zeta: machine.intents.size,
      pulls: pullsOn(state, machine, type, now),
    });
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
export function placementPassGap(state: ClusterState): Span {
  const bySize = (seconds(1) / 4000n) * BigInt(Math.max(0, state.machines.size - SMALL));
  // A process that is behind places nothing that would be heard of in time: its workers' reports come first.
  if (isBehind(state)) return FURTHEST;
  const byCost = state.passTook * PASS_PART < FURTHEST ? state.passTook * PASS_PART : FURTHEST;
  return bySize > byCost ? bySize : byCost;
}

/** What a machine is fetching, by the places on it that wait for an image. */
function pullsOn(state: ClusterState, machine: Machine, type: MachineType, now: Now): Map<string, number> {
  const pulls = new Map<string, number>();
  for (const intent of machine.intents.values()) {
    if (intent.phase !== 'placed' && intent.phase !== 'fetching') continue;
    const job = state.jobs.get(intent.job);
    if (job === undefined || machine.images.has(job.spec.image)) continue;
    const rest = Math.max(0, job.spec.imageGb - toSeconds(now.steady - intent.created) * type.fetchGbPerS);
    pulls.set(job.spec.image, Math.min(pulls.get(job.spec.image) ?? Infinity, rest));
  }
  return pulls;
}

/** One round of placement over the waiting jobs. Jobs that do not fit wait a round, as in the paper. */
export function placementPass(state: ClusterState, now: Now): Job[] {
  state.needPass = false;
  state.passedAt = now.steady;
  rankJobs(state);
  state.promised.clear();
  state.holding = null;
  if (state.waiting.size === 0) {
    state.emptying = null;
    return [];
  }
  chooseStarved(state, now);
  const board = newBoard(state, listCandidates(state, now));
  const displaced = displacedReplicas(state, now);
  let keepsRoom = displaced.length > 0;
  const blocked: Job[] = [];
  for (const job of waitingInOrder(state, now)) {
    // What waits already at the same level comes before what may turn out to be lost.
    if (keepsRoom && displaced.some((each) => level(each.job) > level(job))) {
      keepRoomForDisplaced(displaced, board.open);
      keepsRoom = false;
    }
    const before = job.free.size;
    if (job.spec.kind === 'gang') passGang(state, job, board, now);
    else passSingly(state, job, board, now);
    if (job.free.size > 0) {
      blocked.push(job);
      // Here, in the order of the queue: what is promised to this job is not given to the ones after it.
      if (!state.promised.has(job.spec.id)) makeRoom(state, job, board, now, false);
    }
    if (job.free.size < before)
      emitLog(state, 'placed', {
        job: job.spec.id,
        tasks: before - job.free.size,
        waited: waitedSeconds(job, now),
        left: job.free.size,
      });
  }
  return blocked;
}

/** What depends on the set of open jobs alone is worked out when that changes. */
function rankJobs(state: ClusterState): void {
  if (!state.rankStale) return;
  state.rankStale = false;
  markGuarantees(state);
  state.wholeNeeded = someNeedWhole(state);
}

function book(chosen: Candidate, job: Job): void {
  add(chosen.r, job, -1);
  add(chosen.room, job, -1);
  chosen.zeta += 1;
  const { image, imageGb } = job.spec;
  if (!chosen.machine.images.has(image) && !chosen.pulls.has(image)) chosen.pulls.set(image, imageGb);
}

/** The machines with room for a task of the job; none if a job that asks no more found none in this pass. */
function fittingFor(state: ClusterState, board: Board, job: Job, now: Now): Candidate[] {
  if (board.full.some((s) => asksAtLeast(job.spec, s))) return [];
  const list: Candidate[] = [];
  let any = false;
  for (const candidate of board.open) {
    if (!fitsIn(job.spec, candidate.r) || !machineAllowed(job.spec, candidate.machine)) continue;
    any = true;
    if (fitsIn(job.spec, candidate.room) && zoneAdmits(state, job, candidate.machine, now))
      list.push(candidate);
  }
  if (!any) board.full.push(job.spec);
  return list;
}

function passSingly(state: ClusterState, job: Job, board: Board, now: Now): void {
  if (!state.quota.allows(job.spec)) {
    job.waitReason = 'team limit';
    return;
  }
  const fitting = fittingFor(state, board, job, now);
  if (fitting.length > 0 && board.open.length >= LEFT_WHOLE * 8 && isPatient(state, job, now))
    leaveWhole(fitting, board.open);
  if (fitting.length === 0) {
    job.waitReason = NO_ROOM;
    return;
  }
  const taken = zonesTaken(job);
  const one = (candidate: Candidate): number => steer(state, job, candidate);
  let rows = fitting.map((candidate) => score(job.spec, candidate, state.settings, one));
  for (const task of [...job.free]) {
    if (!state.quota.allows(job.spec)) {
      job.waitReason = 'team limit';
      return;
    }
    const inZones = openFirst(rows.filter((row) => zoneAllowed(job, row.cand.machine.zone, taken)));
    // The machine that failed a job comes last: it is used only if nothing else is left that fits.
    const clean =
      job.failedOn.size === 0 ? inZones : inZones.filter((row) => !job.failedOn.has(row.cand.machine.name));
    const choice = clean.length > 0 ? spreadOut(job, clean, taken) : retryable(job, inZones);
    // Where fetching the image would miss the moment, and something lower can make way next to a cached one, that
    // room is made first; the fetch is the second choice.
    if (
      choice.length > 0 &&
      isHurried(state, job, now) &&
      !choice.some((row) => row.cand.machine.images.has(job.spec.image)) &&
      makeRoom(state, job, board, now, true)
    ) {
      job.waitReason = ROOM_IS_MADE;
      return;
    }
    const chosen = pick(choice, state.settings);
    if (chosen === null) {
      job.waitReason = rows.length === 0 ? NO_ROOM : 'zone rules';
      return;
    }
    const { cand } = chosen;
    const attempt = chunkOf(job, task).attempt + 1;
    place(state, job, task, attempt, cand.machine, now.steady);
    taken.set(cand.machine.zone, (taken.get(cand.machine.zone) ?? 0) + 1);
    book(cand, job);
    if (fitsIn(job.spec, cand.r) && fitsIn(job.spec, cand.room))
      Object.assign(chosen, score(job.spec, cand, state.settings, one));
    else rows = rows.filter((row) => row !== chosen);
  }
}

function passGang(state: ClusterState, job: Job, board: Board, now: Now): void {
  if (job.doneCount > 0) return finishGang(state, job, now.steady);
  if (job.placedCount > 0 || job.free.size !== job.spec.tasks) {
    job.waitReason = 'tasks of the last attempt are not all gone';
    return;
  }
  if (!state.quota.allows(job.spec, job.spec.tasks)) {
    job.waitReason = 'team limit';
    return;
  }
  const fitting = fittingFor(state, board, job, now);
  const kept = fitting.filter((candidate) => !candidate.machine.closed);
  const placed =
    placeGang(state, job, kept, now.steady, steer) ??
    (kept.length < fitting.length ? placeGang(state, job, fitting, now.steady, steer) : null);
  if (placed === null) {
    job.waitReason = NO_ROOM_FOR_ALL;
    if (job.failedOn.size > 0 && now.steady - job.arrived > seconds(30)) job.failedOn.clear();
    return;
  }
  for (const intent of placed) {
    const candidate = fitting.find((candidate) => candidate.machine.name === intent.machine);
    if (candidate !== undefined) book(candidate, job);
  }
}
