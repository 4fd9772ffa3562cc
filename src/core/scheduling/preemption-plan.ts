/** @file Finds the cheapest capacity for tasks of a blocked job, and the assignments to stop for it. It stops none. */
import { assignmentsByZone } from '../assignments/assignments.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { addResources, copyResources, fits } from '../model/resources.js';
import type { Candidate } from './candidates.js';
import type { SchedulingCycle } from './cycle-context.js';
import { IMAGE_FETCH_WEIGHT, evictionCost } from './eviction-cost.js';
import { isZoneAllowed } from './placement-constraints.js';
import { mayPreempt } from './priority.js';
import { type Reservation, reserve } from './reservation.js';
import { imageFetchDelay } from './scoring.js';

/** Reserves capacity for up to `taskCount` tasks on the given machines, one task at a time, at the lowest cost. */
export function reserveCheapest(
  cycle: SchedulingCycle,
  job: Job,
  candidates: readonly Candidate[],
  taskCount: number,
): Reservation[] {
  const { state } = cycle;
  const tasksByZone = assignmentsByZone(job);
  const reservations: Reservation[] = [];
  const victims = new Set<Assignment>();
  // The option of each machine is computed once, and again only after it was used.
  const options = candidates.map((candidate) => cheapestReservation(cycle, job, candidate, victims));
  while (reservations.length < taskCount && state.jobs.quotas.allows(job.spec, reservations.length + 1)) {
    const index = indexOfCheapest(options, job, tasksByZone);
    const option = options[index];
    if (option === undefined || option === null) break;
    const { zone } = option.candidate.machine;
    reserve(state, job, option);
    for (const assignment of option.victims) victims.add(assignment);
    tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    reservations.push(option);
    options[index] = cheapestReservation(cycle, job, option.candidate, victims);
  }
  return reservations;
}

/** Returns the index of the first of the cheapest options in zones that the job may use, or -1 if there is none. */
function indexOfCheapest(
  options: readonly (Reservation | null)[],
  job: Job,
  tasksByZone: ReadonlyMap<string, number>,
): number {
  let cheapest = -1;
  let lowestCost = Infinity;
  for (let index = 0; index < options.length; index++) {
    const option = options[index];
    if (option === null || option === undefined || (cheapest >= 0 && option.cost >= lowestCost)) continue;
    if (!isZoneAllowed(job, option.candidate.machine.zone, tasksByZone)) continue;
    cheapest = index;
    lowestCost = option.cost;
  }
  return cheapest;
}

/**
 * Returns a reservation for one task on the candidate, without victims if possible, or null if stopping all possible
 * victims does not free enough capacity.
 */
function cheapestReservation(
  cycle: SchedulingCycle,
  job: Job,
  candidate: Candidate,
  chosenVictims: ReadonlySet<Assignment>,
): Reservation | null {
  if (fits(job.spec, candidate.projected))
    return { candidate, victims: [], cost: imageFetchCost(cycle, job, candidate) };
  const projected = copyResources(candidate.projected);
  const victims: Assignment[] = [];
  let cost = 0;
  for (const victim of possibleVictims(cycle, job, candidate, chosenVictims)) {
    addResources(projected, victim.job.spec);
    victims.push(victim.assignment);
    cost += victim.cost;
    if (fits(job.spec, projected))
      return { candidate, victims, cost: cost + imageFetchCost(cycle, job, candidate) };
  }
  return null;
}

const imageFetchCost = ({ state }: SchedulingCycle, job: Job, candidate: Candidate): number =>
  imageFetchDelay(job.spec, candidate, state.settings) * IMAGE_FETCH_WEIGHT;

interface PossibleVictim {
  readonly assignment: Assignment;
  readonly job: Job;
  readonly cost: number;
}

/** Returns the assignments on the candidate that the job may preempt, cheapest first. */
function possibleVictims(
  { state, now }: SchedulingCycle,
  preemptor: Job,
  { machine }: Candidate,
  chosenVictims: ReadonlySet<Assignment>,
): PossibleVictim[] {
  const possible: PossibleVictim[] = [];
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined || assignment.stopRequest !== null || chosenVictims.has(assignment)) continue;
    if (mayPreempt(preemptor, job))
      possible.push({ assignment, job, cost: evictionCost(assignment, job, now) });
  }
  return possible.sort((left, right) => left.cost - right.cost);
}
