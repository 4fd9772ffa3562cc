/** @file Reserves free capacity and drains machines for gangs that have waited long. */
import { pendingSeconds } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import { NO_GANG_CAPACITY } from '../model/pending-reasons.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';
import { type SchedulingCycle, isEligible } from './cycle-context.js';
import { type GangDrainPlan, isBetterDrainPlan, planGangDrain } from './gang-drain-plan.js';
import { zonesToPlan } from './placement-constraints.js';
import { type Reservation, reserve } from './reservation.js';

/** Seconds of waiting after which free capacity is reserved for a gang. */
const HOLD_CAPACITY_AFTER_S = 10;

/** Seconds of waiting after which machines are drained for a gang. */
const DRAIN_AFTER_S = 75;

/**
 * Seconds of waiting after which the starved gang precedes all jobs but production ones, because jobs within their
 * team's fair share would otherwise take every machine.
 */
const PRIORITIZE_AFTER_S = 120;

/** Reservations without victims for tasks of a gang, by planned zone. The key null stands for all zones together. */
export type FreeByZone = ReadonlyMap<string | null, readonly Reservation[]>;

/**
 * Chooses the starved gang, for which machines are drained: of the gangs that lack capacity, the one that has waited
 * longest, if it has waited for at least `DRAIN_AFTER_S`.
 */
export function chooseStarvedGang(state: ClusterState, now: Timestamp): void {
  const longest = longestWaitingGang(state, now);
  const waitedSeconds = longest === null ? 0 : pendingSeconds(longest, now);
  if (longest === null || waitedSeconds < DRAIN_AFTER_S) {
    state.scheduling.starvedGang = null;
    return;
  }
  const { id } = longest.spec;
  const previous = state.scheduling.starvedGang;
  state.scheduling.starvedGang = {
    job: id,
    machines: previous?.job === id ? previous.machines : new Set<string>(),
    prioritized: waitedSeconds >= PRIORITIZE_AFTER_S,
  };
}

function longestWaitingGang(state: ClusterState, now: Timestamp): Job | null {
  let longest: Job | null = null;
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.spec.kind !== 'gang' || job.pendingReason !== NO_GANG_CAPACITY) continue;
    if (longest === null || pendingSeconds(job, now) > pendingSeconds(longest, now)) longest = job;
  }
  return longest;
}

/**
 * Reserves capacity for a gang that has waited and for which preemption finds no capacity. Free capacity in its best
 * zone is reserved, because small tasks would otherwise keep taking every piece of it. If that is not enough for the
 * starved gang, the capacity that it lacks is reserved on the machines that will be empty soonest, because small tasks
 * would otherwise keep them from ever becoming free. Only the starved gang and the first gang of a cycle hold capacity,
 * so that little capacity stays idle.
 */
export function reserveForGang(
  cycle: SchedulingCycle,
  job: Job,
  freeByZone: FreeByZone,
  taskCount: number,
): void {
  const { state } = cycle;
  const starved = state.scheduling.starvedGang?.job === job.spec.id ? state.scheduling.starvedGang : null;
  if (starved === null && !mayHoldCapacity(cycle, job)) return;
  cycle.gangHoldingCapacity ??= job.spec.id;
  const plan = bestDrainPlan(cycle, job, freeByZone, taskCount);
  if (plan === null) return;
  for (const reservation of plan.free) reserve(state, job, reservation);
  if (starved === null) return;
  for (const candidate of plan.drained) reserve(state, job, { candidate, victims: [], cost: 0 });
  starved.machines = new Set(plan.drained.map(({ machine }) => machine.name));
}

const mayHoldCapacity = (cycle: SchedulingCycle, job: Job): boolean =>
  cycle.gangHoldingCapacity === null && pendingSeconds(job, cycle.now) >= HOLD_CAPACITY_AFTER_S;

function bestDrainPlan(
  cycle: SchedulingCycle,
  job: Job,
  freeByZone: FreeByZone,
  taskCount: number,
): GangDrainPlan | null {
  const eligible: Candidate[] = cycle.candidates.filter((candidate) => isEligible(cycle, job, candidate));
  let best: GangDrainPlan | null = null;
  for (const zone of zonesToPlan(job.spec, eligible)) {
    const plan = planGangDrain(cycle, { job, zone, eligible, free: freeByZone.get(zone) ?? [], taskCount });
    if (best === null || isBetterDrainPlan(plan, best)) best = plan;
  }
  return best;
}
