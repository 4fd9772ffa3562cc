/** @file The state of one scheduling cycle: the machines at its start, and its results and reservations so far. */
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { fits } from '../model/resources.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type Candidate, collectCandidates } from './candidates.js';
import { type ResourceShape, isMachineAllowed, needsAtLeast } from './placement-constraints.js';
import { schedulingPriority } from './priority.js';
import { zoneAdmits } from './zone-availability.js';

/** The state of one scheduling cycle. State that is kept from one cycle to the next is in `state.scheduling`. */
export interface SchedulingCycle {
  readonly state: ClusterState;
  readonly now: Timestamp;
  readonly candidates: readonly Candidate[];
  /**
   * For each machine, the lowest scheduling priority among its tasks that are not being stopped, or Infinity if there
   * are none. A job whose priority is not higher preempts nothing there.
   */
  readonly lowestPriority: ReadonlyMap<Machine, number>;
  /** Requirements of tasks for which no allowed machine has free capacity. */
  readonly unsatisfiableShapes: ResourceShape[];
  /** Ids of the jobs for which `preemptFor` has reserved capacity in this cycle. */
  readonly jobsWithReservations: Set<string>;
  /** Id of the first gang for which free capacity is reserved, or null. */
  gangHoldingCapacity: string | null;
}

/** Creates the state of a cycle from the current machines. */
export function newSchedulingCycle(state: ClusterState, now: Timestamp): SchedulingCycle {
  const candidates = collectCandidates(state, now);
  return {
    state,
    now,
    candidates,
    lowestPriority: new Map(candidates.map(({ machine }) => [machine, lowestPriorityOn(state, machine)])),
    unsatisfiableShapes: [],
    jobsWithReservations: new Set(),
    gangHoldingCapacity: null,
  };
}

function lowestPriorityOn(state: ClusterState, machine: Machine): number {
  let lowest = Infinity;
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job !== undefined && assignment.stopRequest === null)
      lowest = Math.min(lowest, schedulingPriority(job));
  }
  return lowest;
}

/**
 * The filter step: returns the machines that the job may use and that have capacity for one of its tasks. If, earlier
 * in this cycle, no machine had capacity for a job that needs no more than this one, returns none without scanning the
 * machines again.
 */
export function feasibleCandidates(cycle: SchedulingCycle, job: Job): Candidate[] {
  const { spec } = job;
  if (cycle.unsatisfiableShapes.some((shape) => needsAtLeast(spec, shape))) return [];
  const feasible: Candidate[] = [];
  let anyHasCapacity = false;
  for (const candidate of cycle.candidates) {
    if (!fits(spec, candidate.free) || !isMachineAllowed(spec, candidate.machine)) continue;
    anyHasCapacity = true;
    if (fits(spec, candidate.projected) && zoneAdmits(cycle.state, job, candidate.machine, cycle.now))
      feasible.push(candidate);
  }
  if (!anyHasCapacity) cycle.unsatisfiableShapes.push(spec);
  return feasible;
}

/** Whether the job may use the machine, regardless of its capacity. False where tasks of the job failed before. */
export const isEligible = (cycle: SchedulingCycle, job: Job, { machine }: Candidate): boolean =>
  isMachineAllowed(job.spec, machine) &&
  zoneAdmits(cycle.state, job, machine, cycle.now) &&
  !job.failuresByMachine.has(machine.name);
