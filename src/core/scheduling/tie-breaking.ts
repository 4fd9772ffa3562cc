/** @file Preferences among the machines that fit a task: filters before the cost is compared, and ranks among equal costs. */
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';
import type { ScoredCandidate } from './scoring.js';

/** Empty machines that jobs with deadline slack leave whole, for jobs with less time. */
export const EMPTY_MACHINES_KEPT = 2;

/** Takes the empty machines out of the feasible ones, in place, while there are few empty machines. */
export function excludeEmptyMachines(feasible: Candidate[], candidates: readonly Candidate[]): void {
  let emptyCount = 0;
  for (const candidate of candidates) if (candidate.taskCount === 0) emptyCount += 1;
  if (emptyCount > EMPTY_MACHINES_KEPT) return;
  for (let index = feasible.length - 1; index >= 0; index--)
    if (feasible[index]?.taskCount === 0) feasible.splice(index, 1);
}

/** Ranks that put a machine after all others of its kind. */
const LAST_RANK = 2;

/**
 * Ranks equally good machines, the lowest first: jobs that may run on spot instances go there, and replicas go where
 * most replicas are, so that the expensive machines that only they need stay few, but not where one of their own job is.
 * While some job needs most of a machine, small tasks go beside others and leave whole machines free.
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
    // Two replicas of one service on a machine are lost together.
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

/** Draining machines are used only when no other fits. */
export function preferSchedulable(options: ScoredCandidate[]): ScoredCandidate[] {
  const schedulable = options.filter(({ candidate }) => !candidate.machine.draining);
  return schedulable.length > 0 ? schedulable : options;
}

/** Replicas go to the zones that hold fewest of their job, so that one lost zone or machine costs little. */
export function spreadReplicas(
  job: Job,
  options: ScoredCandidate[],
  tasksByZone: ReadonlyMap<string, number>,
): ScoredCandidate[] {
  if (job.spec.kind !== 'service' || job.spec.taskCount < 2) return options;
  return withLowest(options, ({ candidate }) => tasksByZone.get(candidate.machine.zone) ?? 0);
}

/** A job that has failed on every machine is retried on those where it failed least often. */
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
