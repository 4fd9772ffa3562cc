/** @file Room for blocked jobs of a higher level, made by stopping lower ones. */
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { assignmentsOf, stopAssignment, assignmentsByZone } from '../assignments/assignments.js';
import { schedulingPriority, mayPreempt } from './priority.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Resources } from '../model/resources.js';
import {
  type Candidate,
  type ResourceShape,
  fits,
  imageFetchDelay,
  isMachineAllowed,
  isZoneAllowed,
} from './scoring.js';
import { reserveForGang } from './starved-gangs.js';
import { pendingSeconds } from '../jobs/deadline-slack.js';
import { type Timestamp, seconds, toSeconds } from '../model/time.js';
import { zoneAdmits } from './zone-availability.js';

/** What one pass knows of the machines. */
export interface SchedulingSnapshot {
  readonly candidates: Candidate[];
  /** The lowest level that a task on each machine has, and the lowest of all: nothing lower can be stopped. */
  readonly lowestPriority: ReadonlyMap<Machine, number>;
  readonly minPriority: number;
  /** What no machine has free room for. */
  readonly unsatisfiable: ResourceShape[];
}

/** What a pass knows before it places anything. */
export function newSnapshot(state: ClusterState, open: Candidate[]): SchedulingSnapshot {
  const lowest = new Map<Machine, number>();
  let floor = Infinity;
  for (const candidate of open) {
    let least = Infinity;
    for (const assignment of candidate.machine.assignments.values()) {
      const job = state.jobs.byId.get(assignment.jobId);
      if (job !== undefined && assignment.stopRequest === null)
        least = Math.min(least, schedulingPriority(job));
    }
    lowest.set(candidate.machine, least);
    floor = Math.min(floor, least);
  }
  return { candidates: open, lowestPriority: lowest, minPriority: floor, unsatisfiable: [] };
}

/** Until a task has run so long, stopping it undoes a start that its user has waited for. */
const SETTLED_S = 30;

/**
 * What is lost if the task were stopped now, weighed by its size: its work, or, where that is saved, the time of
 * saving. A task that is still fetching or has hardly begun loses all its waiting too. Without that it looked the
 * cheapest, and the same job was stopped again and again before it ever ran.
 */
function lossOf(assignment: Assignment, job: Job, now: Timestamp): number {
  const ran = assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince);
  const each = Math.max(job.spec.gpus, job.spec.cpus / 16);
  const size = job.spec.kind === 'gang' ? job.spec.taskCount : 1;
  const work = job.spec.checkpointInterval > 0n ? Math.min(ran, toSeconds(job.spec.checkpointDuration)) : ran;
  const waited = ran < SETTLED_S ? toSeconds(now.monotonic - assignment.createdAt) + SETTLED_S : 0;
  return (
    (schedulingPriority(job) * 10_000 + work + waited + job.preemptionCount * SETTLED_S + 1) * each * size
  );
}

/** Seconds that a stopped task of the job needs to save; 0: it does not save. */
export function gracePeriod(job: Job): number {
  return job.spec.checkpointInterval > 0n ? toSeconds(job.spec.checkpointDuration) + 1 : 0;
}

/** A second of fetching against a second of lost work, beside the 10,000 that a level counts. */
const FETCH_WEIGHT = 10;

/** Room for one task of a blocked job, and what must go for it. */
export interface PreemptionPlan {
  readonly candidate: Candidate;
  readonly victims: readonly Assignment[];
  readonly cost: number;
}

/** Adds (or takes) what a task of the job holds. */
export function addResources(r: Resources, job: Job, sign: 1 | -1): void {
  r.cpus += sign * job.spec.cpus;
  r.gpus += sign * job.spec.gpus;
  r.memory += sign * job.spec.memory;
}

/**
 * Finds room for a blocked job in what is coming free, stopping what it may. The room is booked in the candidates'
 * `room`, so that work of a lower level does not take it while the stopped tasks are still going.
 */
export function preemptFor(
  state: ClusterState,
  job: Job,
  snapshot: SchedulingSnapshot,
  now: Timestamp,
  cachedOnly: boolean,
): boolean {
  const all = job.spec.kind === 'gang';
  if (all && job.assignedCount > 0) return false;
  const want = all && !state.jobs.quotas.allows(job.spec, job.spec.taskCount) ? 0 : job.unassignedTasks.size;
  if (want === 0) return false;
  const own = schedulingPriority(job);
  const allowed = snapshot.candidates.filter(
    (candidate) =>
      (own > (snapshot.lowestPriority.get(candidate.machine) ?? Infinity) ||
        fits(job.spec, candidate.projected)) &&
      isMachineAllowed(job.spec, candidate.machine) &&
      zoneAdmits(state, job, candidate.machine, now) &&
      !job.failuresByMachine.has(candidate.machine.name) &&
      (!cachedOnly ||
        (candidate.machine.cachedImages.has(job.spec.image) && !holdsOf(candidate.machine, job))),
  );
  if (allowed.length === 0 && !all) return false;
  // Where all tasks need one zone, each zone is planned by itself: starting with the cheapest machine of any zone
  // could choose a zone that has no room for the rest, find nothing, and let lower work in until the next pass.
  const zones = zoneOptions(job, allowed);
  let best: PreemptionPlan[] = [];
  let bestCost = Infinity;
  const free = new Map<string | null, PreemptionPlan[]>();
  for (const zone of zones) {
    const offers = planRoom(
      state,
      job,
      zone === null ? allowed : allowed.filter((candidate) => candidate.machine.zone === zone),
      want,
      now,
    );
    for (const offer of offers) reserve(state, job, offer, -1);
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
  if (best.length === 0 && all) reserveForGang(state, job, snapshot, free, want, now);
  for (const offer of best) reserve(state, job, offer, 1);
  if (best.length > 0) state.scheduling.jobsWithReservations.add(job.spec.id);
  for (const offer of best) for (const assignment of offer.victims) stopVictim(state, assignment, job, now);
  return best.length > 0;
}

/** Two replicas of one service on a machine are lost together. */
const holdsOf = (machine: Machine, job: Job): boolean =>
  [...machine.assignments.values()].some((assignment) => assignment.jobId === job.spec.id);

/** The zones that are planned one by one; null: all at once. */
export const zoneOptions = (job: Job, open: readonly Candidate[]): (string | null)[] =>
  job.spec.singleZone ? [...new Set(open.map((candidate) => candidate.machine.zone))].sort() : [null];

/** Books room for up to `want` tasks on the given machines, task by task at the least cost. */
function planRoom(
  state: ClusterState,
  job: Job,
  open: readonly Candidate[],
  want: number,
  now: Timestamp,
): PreemptionPlan[] {
  const taken = assignmentsByZone(job);
  const booked: PreemptionPlan[] = [];
  const victims = new Set<Assignment>();
  // Each machine's offer is worked out once, and again only after one of its own was taken.
  const offers = open.map((candidate) => offerWithFetch(state, job, candidate, victims, now));
  for (let n = 0; n < want && state.jobs.quotas.allows(job.spec, n + 1); n++) {
    let best: PreemptionPlan | null = null;
    let at = -1;
    for (let k = 0; k < offers.length; k++) {
      const offer = offers[k];
      if (offer === null || offer === undefined || (best !== null && offer.cost >= best.cost)) continue;
      if (!isZoneAllowed(job, offer.candidate.machine.zone, taken)) continue;
      best = offer;
      at = k;
    }
    if (best === null) break;
    reserve(state, job, best, 1);
    for (const assignment of best.victims) victims.add(assignment);
    taken.set(best.candidate.machine.zone, (taken.get(best.candidate.machine.zone) ?? 0) + 1);
    booked.push(best);
    offers[at] = offerWithFetch(state, job, best.candidate, victims, now);
  }
  return booked;
}

function offerWithFetch(
  state: ClusterState,
  job: Job,
  candidate: Candidate,
  used: ReadonlySet<Assignment>,
  now: Timestamp,
): PreemptionPlan | null {
  const offer = offerOf(state, job, candidate, used, now);
  if (offer === null) return null;
  return { ...offer, cost: offer.cost + imageFetchDelay(job.spec, candidate, state.settings) * FETCH_WEIGHT };
}

/** Books an offer in the candidate's room, or takes that back. */
export function reserve(state: ClusterState, job: Job, offer: PreemptionPlan, sign: 1 | -1): void {
  addResources(offer.candidate.projected, job, sign === 1 ? -1 : 1);
  for (const assignment of offer.victims) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job !== undefined) addResources(offer.candidate.projected, job, sign);
  }
}

function stopVictim(state: ClusterState, assignment: Assignment, by: Job, now: Timestamp): void {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || assignment.stopRequest !== null) return;
  emitLog(
    state,
    'stopped to make room',
    {
      task: `${assignment.jobId}/${assignment.taskIndex}`,
      machine: assignment.machineName,
      class: job.spec.class,
      by: by.spec.id,
      byClass: by.spec.class,
    },
    'info',
  );
  // Saving takes longer than the job can wait: an array task then falls back to its last checkpoint instead.
  const hasty =
    job.spec.kind === 'array' &&
    by.spec.priority === 'production' &&
    hasteOf(state, by, now) < gracePeriod(job);
  const grace = hasty ? 0 : gracePeriod(job);
  job.preemptionCount += 1;
  if (job.spec.kind === 'gang')
    for (const other of assignmentsOf(job)) stopAssignment(state, other, grace, 'preempted', now.monotonic);
  else stopAssignment(state, assignment, grace, 'preempted', now.monotonic);
}

/** Seconds in which the job's class should have started, by its objective. */
function hasteOf(state: ClusterState, job: Job, now: Timestamp): number {
  let within = Infinity;
  for (const objective of state.config.objectives)
    if (objective.kind === 'wait' && objective.class === job.spec.class && objective.threshold !== null)
      within = Math.min(within, toSeconds(objective.threshold));
  if (within === Infinity) return Infinity;
  const waited = pendingSeconds(job, now);
  const lost = job.replicaLostAt !== null && now.monotonic - job.replicaLostAt < seconds(within + 5);
  return waited > within + 5 && !lost ? Infinity : within;
}

function offerOf(
  state: ClusterState,
  job: Job,
  at: Candidate,
  used: ReadonlySet<Assignment>,
  now: Timestamp,
): PreemptionPlan | null {
  if (fits(job.spec, at.projected)) return { candidate: at, victims: [], cost: 0 };
  const open: { i: Assignment; job: Job; cost: number }[] = [];
  for (const assignment of at.machine.assignments.values()) {
    const j = state.jobs.byId.get(assignment.jobId);
    if (j === undefined || assignment.stopRequest !== null || used.has(assignment) || !mayPreempt(job, j))
      continue;
    open.push({ i: assignment, job: j, cost: lossOf(assignment, j, now) });
  }
  open.sort((a, b) => a.cost - b.cost);
  const r = { ...at.projected };
  const victims: Assignment[] = [];
  let cost = 0;
  for (const v of open) {
    addResources(r, v.job, 1);
    victims.push(v.i);
    cost += v.cost;
    if (fits(job.spec, r)) return { candidate: at, victims, cost };
  }
  return null;
}
