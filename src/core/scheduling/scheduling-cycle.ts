/** @file One round of placement over the waiting jobs. */
import { hasPageInAtomicGroup } from '../records/atomic-page-groups.js';
import { isUsable, resourcesOf } from '../machines/free-resources.js';
import { chunkOf } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { NO_GANG_CAPACITY } from '../model/pending-reasons.js';
import { emitLog } from '../state/log-effects.js';
import { isOverloaded } from '../state/overload.js';
import { assignGang } from './gang-scheduling.js';
import { assignTask, assignmentsByZone } from '../assignments/assignments.js';
import { completeGang } from '../assignments/job-completion.js';
import { schedulingPriority, updateFairShares } from './priority.js';
import type { Job } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import {
  type Candidate,
  needsAtLeast,
  fits,
  isMachineAllowed,
  pickBest,
  scoreCandidate,
  isZoneAllowed,
} from './scoring.js';
import { type SchedulingSnapshot, addResources, preemptFor, newSnapshot } from './preemption.js';
import { chooseStarvedGang } from './starved-gangs.js';
import {
  WHOLE_MACHINES_KEPT,
  keepMachinesWhole,
  preferSchedulable,
  leastFailedCandidates,
  anyJobNeedsWholeMachine,
  spreadReplicas,
  tieBreakScore,
} from './tie-breaking.js';
import { type Timestamp, type Duration, seconds, toSeconds } from '../model/time.js';
import { displacedReplicas, reserveForDisplaced, zoneAdmits } from './zone-availability.js';
import { isUrgent, hasDeadlineSlack, pendingSeconds, startDeadline } from '../jobs/deadline-slack.js';

/** Why a job waits: no machine has room for a task. */
export const NO_CAPACITY = 'no room';

/** Why a job waits: lower work is being stopped for it. */
export const PREEMPTION_IN_PROGRESS = 'room beside the cached image is being made';

/** Below production, above all else. */
const STARVED = 999;

/** Waiting jobs in the order in which they are placed: priority, then guarantee, then due time. */
export function pendingJobsInOrder(state: ClusterState, now: Timestamp): Job[] {
  const rows: { job: Job; level: number; by: number }[] = [];
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.unassignedTasks.size === 0) {
      state.jobs.pending.delete(id);
      continue;
    }
    if (
      job.status !== 'open' ||
      job.retryNotBefore > now.monotonic ||
      hasPageInAtomicGroup(state.records, job)
    )
      continue;
    const starved = state.scheduling.starvedGang?.job === id && state.scheduling.starvedGang.prioritized;
    rows.push({
      job,
      level: starved ? Math.max(schedulingPriority(job), STARVED) : schedulingPriority(job),
      by: startDeadline(state, job),
    });
  }
  rows.sort((a, b) => b.level - a.level || a.by - b.by || (a.job.spec.id < b.job.spec.id ? -1 : 1));
  return rows.map((r) => r.job);
}

/** The machines that may take tasks now, with what is free on them. */
export function schedulableCandidates(state: ClusterState, now: Timestamp): Candidate[] {
  const out: Candidate[] = [];
  for (const machine of state.machines.byName.values()) {
    state.machines.scannedCount += 1;
    const type = state.machines.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now.monotonic)) continue;
    const view = resourcesOf(state, machine);
    const r = { ...view.free };
    const room = { ...view.projected };
    out.push({
      machine,
      type,
      free: r,
      projected: room,
      taskCount: machine.assignments.size,
      imagePulls: pullsOn(state, machine, type, now),
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
export function minCycleInterval(state: ClusterState): Duration {
  const bySize = (seconds(1) / 4000n) * BigInt(Math.max(0, state.machines.byName.size - SMALL));
  // A process that is behind places nothing that would be heard of in time: its workers' reports come first.
  if (isOverloaded(state.term)) return FURTHEST;
  const byCost =
    state.scheduling.averageCycleDuration * PASS_PART < FURTHEST
      ? state.scheduling.averageCycleDuration * PASS_PART
      : FURTHEST;
  return bySize > byCost ? bySize : byCost;
}

/** What a machine is fetching, by the places on it that wait for an image. */
function pullsOn(
  state: ClusterState,
  machine: Machine,
  type: MachineType,
  now: Timestamp,
): Map<string, number> {
  const pulls = new Map<string, number>();
  for (const assignment of machine.assignments.values()) {
    if (assignment.phase !== 'assigned' && assignment.phase !== 'fetching') continue;
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined || machine.cachedImages.has(job.spec.image)) continue;
    const rest = Math.max(
      0,
      job.spec.imageGb - toSeconds(now.monotonic - assignment.createdAt) * type.fetchGbPerS,
    );
    pulls.set(job.spec.image, Math.min(pulls.get(job.spec.image) ?? Infinity, rest));
  }
  return pulls;
}

/** One round of placement over the waiting jobs. Jobs that do not fit wait a round, as in the paper. */
export function runSchedulingCycle(state: ClusterState, now: Timestamp): Job[] {
  state.scheduling.cycleNeeded = false;
  state.scheduling.lastCycleAt = now.monotonic;
  rankJobs(state);
  state.scheduling.jobsWithReservations.clear();
  state.scheduling.gangHoldingCapacity = null;
  if (state.jobs.pending.size === 0) {
    state.scheduling.starvedGang = null;
    return [];
  }
  chooseStarvedGang(state, now);
  const snapshot = newSnapshot(state, schedulableCandidates(state, now));
  const displaced = displacedReplicas(state, now);
  let keepsRoom = displaced.length > 0;
  const blocked: Job[] = [];
  for (const job of pendingJobsInOrder(state, now)) {
    // What waits already at the same level comes before what may turn out to be lost.
    if (keepsRoom && displaced.some((each) => schedulingPriority(each.job) > schedulingPriority(job))) {
      reserveForDisplaced(displaced, snapshot.candidates);
      keepsRoom = false;
    }
    const before = job.unassignedTasks.size;
    if (job.spec.kind === 'gang') passGang(state, job, snapshot, now);
    else passSingly(state, job, snapshot, now);
    if (job.unassignedTasks.size > 0) {
      blocked.push(job);
      // Here, in the order of the queue: what is promised to this job is not given to the ones after it.
      if (!state.scheduling.jobsWithReservations.has(job.spec.id))
        preemptFor(state, job, snapshot, now, false);
    }
    if (job.unassignedTasks.size < before)
      emitLog(state, 'placed', {
        job: job.spec.id,
        tasks: before - job.unassignedTasks.size,
        waited: pendingSeconds(job, now),
        left: job.unassignedTasks.size,
      });
  }
  return blocked;
}

/** What depends on the set of open jobs alone is worked out when that changes. */
function rankJobs(state: ClusterState): void {
  if (!state.jobs.fairSharesStale) return;
  state.jobs.fairSharesStale = false;
  updateFairShares(state);
  state.scheduling.wholeMachineNeeded = anyJobNeedsWholeMachine(state);
}

function book(chosen: Candidate, job: Job): void {
  addResources(chosen.free, job, -1);
  addResources(chosen.projected, job, -1);
  chosen.taskCount += 1;
  const { image, imageGb } = job.spec;
  if (!chosen.machine.cachedImages.has(image) && !chosen.imagePulls.has(image))
    chosen.imagePulls.set(image, imageGb);
}

/** The machines with room for a task of the job; none if a job that asks no more found none in this pass. */
function fittingFor(
  state: ClusterState,
  snapshot: SchedulingSnapshot,
  job: Job,
  now: Timestamp,
): Candidate[] {
  if (snapshot.unsatisfiable.some((s) => needsAtLeast(job.spec, s))) return [];
  const list: Candidate[] = [];
  let any = false;
  for (const candidate of snapshot.candidates) {
    if (!fits(job.spec, candidate.free) || !isMachineAllowed(job.spec, candidate.machine)) continue;
    any = true;
    if (fits(job.spec, candidate.projected) && zoneAdmits(state, job, candidate.machine, now))
      list.push(candidate);
  }
  if (!any) snapshot.unsatisfiable.push(job.spec);
  return list;
}

function passSingly(state: ClusterState, job: Job, snapshot: SchedulingSnapshot, now: Timestamp): void {
  if (!state.jobs.quotas.allows(job.spec)) {
    job.pendingReason = 'team limit';
    return;
  }
  const fitting = fittingFor(state, snapshot, job, now);
  if (
    fitting.length > 0 &&
    snapshot.candidates.length >= WHOLE_MACHINES_KEPT * 8 &&
    hasDeadlineSlack(state, job, now)
  )
    keepMachinesWhole(fitting, snapshot.candidates);
  if (fitting.length === 0) {
    job.pendingReason = NO_CAPACITY;
    return;
  }
  const taken = assignmentsByZone(job);
  const one = (candidate: Candidate): number => tieBreakScore(state, job, candidate);
  let rows = fitting.map((candidate) => scoreCandidate(job.spec, candidate, state.settings, one));
  for (const task of [...job.unassignedTasks]) {
    if (!state.jobs.quotas.allows(job.spec)) {
      job.pendingReason = 'team limit';
      return;
    }
    const inZones = preferSchedulable(
      rows.filter((row) => isZoneAllowed(job, row.candidate.machine.zone, taken)),
    );
    // The machine that failed a job comes last: it is used only if nothing else is left that fits.
    const clean =
      job.failuresByMachine.size === 0
        ? inZones
        : inZones.filter((row) => !job.failuresByMachine.has(row.candidate.machine.name));
    const choice = clean.length > 0 ? spreadReplicas(job, clean, taken) : leastFailedCandidates(job, inZones);
    // Where fetching the image would miss the moment, and something lower can make way next to a cached one, that
    // room is made first; the fetch is the second choice.
    if (
      choice.length > 0 &&
      isUrgent(state, job, now) &&
      !choice.some((row) => row.candidate.machine.cachedImages.has(job.spec.image)) &&
      preemptFor(state, job, snapshot, now, true)
    ) {
      job.pendingReason = PREEMPTION_IN_PROGRESS;
      return;
    }
    const chosen = pickBest(choice, state.settings);
    if (chosen === null) {
      job.pendingReason = rows.length === 0 ? NO_CAPACITY : 'zone rules';
      return;
    }
    const { candidate } = chosen;
    const attempt = chunkOf(job, task).highestAttempt + 1;
    assignTask(state, job, task, attempt, candidate.machine, now.monotonic);
    taken.set(candidate.machine.zone, (taken.get(candidate.machine.zone) ?? 0) + 1);
    book(candidate, job);
    if (fits(job.spec, candidate.free) && fits(job.spec, candidate.projected))
      Object.assign(chosen, scoreCandidate(job.spec, candidate, state.settings, one));
    else rows = rows.filter((row) => row !== chosen);
  }
}

function passGang(state: ClusterState, job: Job, snapshot: SchedulingSnapshot, now: Timestamp): void {
  if (job.completedCount > 0) return completeGang(state, job, now.monotonic);
  if (job.assignedCount > 0 || job.unassignedTasks.size !== job.spec.taskCount) {
    job.pendingReason = 'tasks of the last attempt are not all gone';
    return;
  }
  if (!state.jobs.quotas.allows(job.spec, job.spec.taskCount)) {
    job.pendingReason = 'team limit';
    return;
  }
  const fitting = fittingFor(state, snapshot, job, now);
  const kept = fitting.filter((candidate) => !candidate.machine.draining);
  const placed =
    assignGang(state, job, kept, now.monotonic, tieBreakScore) ??
    (kept.length < fitting.length ? assignGang(state, job, fitting, now.monotonic, tieBreakScore) : null);
  if (placed === null) {
    job.pendingReason = NO_GANG_CAPACITY;
    if (job.failuresByMachine.size > 0 && now.monotonic - job.firstSeenAt > seconds(30))
      job.failuresByMachine.clear();
    return;
  }
  for (const assignment of placed) {
    const candidate = fitting.find((candidate) => candidate.machine.name === assignment.machineName);
    if (candidate !== undefined) book(candidate, job);
  }
}
