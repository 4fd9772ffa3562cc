/**
 * @file Preferences among the machines that fit a task: filters before the cost is compared, and ranks among equal
 * costs.
 */
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';
import type { ScoredCandidate } from './scoring.js';

/** Number of empty machines that jobs with deadline slack leave to jobs without it. */
export const EMPTY_MACHINES_KEPT = 2;

/** Removes the empty machines from `feasible` in place if there are at most `EMPTY_MACHINES_KEPT` of them in all. */
export function excludeEmptyMachines(feasible: Candidate[], candidates: readonly Candidate[]): void {
  let emptyCount = 0;
  for (const candidate of candidates) if (candidate.taskCount === 0) emptyCount += 1;
  if (emptyCount > EMPTY_MACHINES_KEPT) return;
  for (let index = feasible.length - 1; index >= 0; index--)
    if (feasible[index]?.taskCount === 0) feasible.splice(index, 1);
}

/** Rank that puts a machine after all others. */
const LAST_RANK = 2;

/**
 * Ranks equally good machines; the lowest rank is preferred. Jobs that may run on spot instances prefer these. Other
 * service replicas prefer machines with the most service replicas, so that few of the expensive machines that only
 * service replicas need are in use, but avoid machines with a replica of the same service. While some job needs most of
 * a machine, small tasks, except those service replicas, prefer machines that run other tasks, and leave empty machines
 * free.
 */
export function tieBreakScore(state: ClusterState, job: Job, candidate: Candidate): number {
  const occupiesEmptyMachine =
    candidate.taskCount === 0 &&
    state.scheduling.wholeMachineNeeded &&
    !needsMostOfMachine(job, candidate.type);
  const emptyMachinePenalty = occupiesEmptyMachine ? 1 : 0;
  if (job.spec.allowSpot) return (candidate.machine.spot ? 0 : LAST_RANK) + emptyMachinePenalty;
  if (job.spec.kind !== 'service') return emptyMachinePenalty;
  return replicaScore(state, job, candidate);
}

function replicaScore(state: ClusterState, job: Job, { machine }: Candidate): number {
  let replicaCount = 0;
  for (const assignment of machine.assignments.values()) {
    // Two replicas of one service on the same machine would be lost together.
    if (assignment.jobId === job.spec.id) return LAST_RANK;
    if (state.jobs.byId.get(assignment.jobId)?.spec.kind === 'service') replicaCount += 1;
  }
  return 1 / (1 + replicaCount);
}

/** Whether two tasks of the job do not fit one machine of the type. */
const needsMostOfMachine = ({ spec }: Job, type: MachineType): boolean =>
  spec.gpus * 2 > type.gpus || spec.cpus * 2 > type.cpus || spec.memory * 2 > type.memory;

/** Whether some active job needs most of a machine for a task. */
export function anyJobNeedsWholeMachine(state: ClusterState): boolean {
  for (const id of state.jobs.active) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    for (const type of state.machines.types.values()) if (needsMostOfMachine(job, type)) return true;
  }
  return false;
}

/** Returns the options that are not draining, or all options if every one is draining. */
export function preferSchedulable(options: ScoredCandidate[]): ScoredCandidate[] {
  const schedulable = options.filter(({ candidate }) => !candidate.machine.draining);
  return schedulable.length > 0 ? schedulable : options;
}

/** For service replicas, returns the options in zones with the fewest of them: the loss of one zone costs little. */
export function spreadReplicas(
  job: Job,
  options: ScoredCandidate[],
  tasksByZone: ReadonlyMap<string, number>,
): ScoredCandidate[] {
  if (job.spec.kind !== 'service' || job.spec.taskCount < 2) return options;
  return withLowest(options, ({ candidate }) => tasksByZone.get(candidate.machine.zone) ?? 0);
}

/** Returns the options on which the job has failed least often, for a job that has failed on all of them. */
export function leastFailedCandidates(job: Job, options: readonly ScoredCandidate[]): ScoredCandidate[] {
  return withLowest(options, ({ candidate }) => job.failuresByMachine.get(candidate.machine.name) ?? 0);
}

function withLowest(
  options: readonly ScoredCandidate[],
  count: (option: ScoredCandidate) => number,
): ScoredCandidate[] {
  let lowest = Infinity;
  for (const option of options) lowest = Math.min(lowest, count(option));
  return options.filter((option) => count(option) === lowest);
}
