/** @file Reserves capacity for blocked jobs by stopping tasks of lower priority. */
import { assignableTasks, mayAssignGang } from '../assignments/assignments.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { fits } from '../model/resources.js';
import type { Candidate } from './candidates.js';
import { type SchedulingCycle, isEligible } from './cycle-context.js';
import { evict } from './eviction.js';
import { candidatesIn, zonesToPlan } from './placement-constraints.js';
import { reserveCheapest } from './preemption-plan.js';
import { schedulingPriority } from './priority.js';
import { type Reservation, releaseReservation, reserve } from './reservation.js';
import { type FreeByZone, reserveForGang } from './starved-gangs.js';

/**
 * Reserves projected capacity for a blocked job, and stops the tasks that it preempts for that. Returns whether it
 * found capacity for at least one task, or in the case of a gang for all tasks; for a gang without such capacity, it
 * calls `reserveForGang`. With `cachedImageOnly`, uses only machines that have the image cached and run no task of the
 * job.
 */
export function preemptFor(cycle: SchedulingCycle, job: Job, cachedImageOnly: boolean): boolean {
  const { state } = cycle;
  const isGang = job.spec.kind === 'gang';
  const taskCount = tasksToReserve(cycle, job);
  if (taskCount === 0) return false;
  const candidates = preemptionCandidates(cycle, job, cachedImageOnly);
  if (candidates.length === 0 && !isGang) return false;
  const { reservations, freeByZone } = planCheapestZone(cycle, job, candidates, taskCount);
  if (reservations.length === 0) {
    if (isGang) reserveForGang(cycle, job, freeByZone, taskCount);
    return false;
  }
  for (const reservation of reservations) reserve(state, job, reservation);
  cycle.jobsWithReservations.add(job.spec.id);
  for (const assignment of victimsOf(reservations)) evict(cycle, assignment, job);
  return true;
}

const victimsOf = (reservations: readonly Reservation[]): Assignment[] =>
  reservations.flatMap(({ victims }) => victims);

/**
 * Returns the number of pending tasks that may be assigned. For a gang it is 0 if it has assigned tasks, or if not all of
 * its tasks may be assigned.
 */
function tasksToReserve({ state }: SchedulingCycle, job: Job): number {
  const { spec, assignedCount, unassignedTasks } = job;
  if (spec.kind !== 'gang') return Math.min(unassignedTasks.size, assignableTasks(state));
  const mayStart =
    assignedCount === 0 && mayAssignGang(state, job) && state.jobs.quotas.allows(spec, spec.taskCount);
  return mayStart ? unassignedTasks.size : 0;
}

function preemptionCandidates(cycle: SchedulingCycle, job: Job, cachedImageOnly: boolean): Candidate[] {
  const priority = schedulingPriority(job);
  return cycle.candidates.filter(
    (candidate) =>
      (priority > (cycle.lowestPriority.get(candidate.machine) ?? Infinity) ||
        fits(job.spec, candidate.projected)) &&
      isEligible(cycle, job, candidate) &&
      (!cachedImageOnly ||
        (candidate.machine.cachedImages.has(job.spec.image) && !hasTaskOf(candidate.machine, job))),
  );
}

/** Whether the machine has a task of the job. Two replicas of one service on one machine would be lost together. */
const hasTaskOf = (machine: Machine, job: Job): boolean =>
  [...machine.assignments.values()].some((assignment) => assignment.jobId === job.spec.id);

interface ZonePlan {
  /** The cheapest plan, not reserved yet; empty if there is none. */
  readonly reservations: readonly Reservation[];
  /** For a gang, the reservations without victims in zones that lack capacity for all of its tasks. */
  readonly freeByZone: FreeByZone;
}

/**
 * Returns the plan with the lowest average cost per task. If all tasks need the same zone, each zone is planned
 * separately. Starting with the cheapest machine of any zone could choose a zone without capacity for the other tasks;
 * no capacity would then be reserved, and jobs of lower priority could take the machines until the next cycle.
 */
function planCheapestZone(
  cycle: SchedulingCycle,
  job: Job,
  candidates: readonly Candidate[],
  taskCount: number,
): ZonePlan {
  const freeByZone = new Map<string | null, readonly Reservation[]>();
  let cheapest: readonly Reservation[] = [];
  let lowestCost = Infinity;
  for (const zone of zonesToPlan(job.spec, candidates)) {
    const reservations = reserveCheapest(cycle, job, candidatesIn(zone, candidates), taskCount);
    for (const reservation of reservations) releaseReservation(cycle.state, job, reservation);
    if (reservations.length === 0) continue;
    if (job.spec.kind === 'gang' && reservations.length < taskCount) {
      freeByZone.set(
        zone,
        reservations.filter(({ victims }) => victims.length === 0),
      );
      continue;
    }
    const cost = averageCost(reservations);
    if (cost < lowestCost) [cheapest, lowestCost] = [reservations, cost];
  }
  return { reservations: cheapest, freeByZone };
}

const averageCost = (reservations: readonly Reservation[]): number =>
  reservations.reduce((sum, { cost }) => sum + cost, 0) / reservations.length;
