/** @file What one scheduling cycle knows of the machines, and what it has found out and reserved so far. */
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { fits } from '../model/resources.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type Candidate, collectCandidates } from './candidates.js';
import { type ResourceShape, isMachineAllowed, needsAtLeast } from './placement-constraints.js';
import { schedulingPriority } from './priority.js';
import { zoneAdmits } from './zone-availability.js';

/** One scheduling cycle. It ends with the call that began it; what outlives it is in `state.scheduling`. */
export interface SchedulingCycle {
  readonly state: ClusterState;
  readonly now: Timestamp;
  readonly candidates: readonly Candidate[];
  /** The lowest priority of a running task on each machine: a job that is not above it can preempt nothing there. */
  readonly lowestPriority: ReadonlyMap<Machine, number>;
  /** Demands that no machine has free capacity for. */
  readonly unsatisfiableShapes: ResourceShape[];
  /** Jobs for which capacity is reserved already. */
  readonly jobsWithReservations: Set<string>;
  /** The first gang for which free capacity is kept together. */
  gangHoldingCapacity: string | null;
}

/** Begins a cycle with the machines as they are now. */
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
 * The filter step: machines with capacity for a task of the job. There are none for a job that needs at least as much
 * as one that found none earlier in this cycle; such jobs do not look at every machine again.
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

/** Whether the job may use the machine, whatever capacity it has: not where its tasks failed before. */
export const isEligible = (cycle: SchedulingCycle, job: Job, { machine }: Candidate): boolean =>
  isMachineAllowed(job.spec, machine) &&
  zoneAdmits(cycle.state, job, machine, cycle.now) &&
  !job.failuresByMachine.has(machine.name);
