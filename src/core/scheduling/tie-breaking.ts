/** @file What narrows the choice among equally good machines. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Candidate, ScoredCandidate } from './scoring.js';

/** Machines that patient work leaves whole, for work that comes with less time; never an eighth of what there is. */
export const WHOLE_MACHINES_KEPT = 2;

/** Takes the empty machines out of the choice while there are few of them. */
export function keepMachinesWhole(fitting: Candidate[], open: readonly Candidate[]): void {
  let empty = 0;
  for (const candidate of open) if (candidate.taskCount === 0) empty += 1;
  if (empty > WHOLE_MACHINES_KEPT) return;
  for (let n = fitting.length - 1; n >= 0; n--) if (fitting[n]?.taskCount === 0) fitting.splice(n, 1);
}

/**
 * Equally good machines: work that may run on spot machines goes there, and replicas go where most replicas are, so
 * that the dear machines that only they need stay few, but not where one of their own job is. While some work needs most of a machine, small tasks go beside
 * others and leave whole machines free.
 */
export function tieBreakScore(state: ClusterState, job: Job, candidate: Candidate): number {
  const breaks =
    candidate.taskCount === 0 && state.scheduling.wholeMachineNeeded && !takesMost(job, candidate.type)
      ? 1
      : 0;
  if (job.spec.allowSpot) return (candidate.machine.spot ? 0 : 2) + breaks;
  if (job.spec.kind !== 'service') return breaks;
  let mates = 0;
  for (const assignment of candidate.machine.assignments.values()) {
    // Two replicas of one service on a machine are lost together.
    if (assignment.jobId === job.spec.id) return 2;
    if (state.jobs.byId.get(assignment.jobId)?.spec.kind === 'service') mates += 1;
  }
  return 1 / (1 + mates);
}

/** Whether two tasks of the job do not fit one machine of the type. */
function takesMost(job: Job, type: MachineType): boolean {
  return job.spec.gpus * 2 > type.gpus || job.spec.cpus * 2 > type.cpus || job.spec.memory * 2 > type.memory;
}

/** Whether some open job needs most of a machine for a task. */
export function anyJobNeedsWholeMachine(state: ClusterState): boolean {
  for (const id of state.jobs.active) {
    const job = state.jobs.byId.get(id);
    if (job !== undefined)
      for (const type of state.machines.types.values()) if (takesMost(job, type)) return true;
  }
  return false;
}

/** Machines that the fleet wants to empty are taken only when no other fits. */
export function preferSchedulable(list: ScoredCandidate[]): ScoredCandidate[] {
  const kept = list.filter((row) => !row.candidate.machine.draining);
  return kept.length > 0 ? kept : list;
}

/** Replicas go to the zones that hold fewest of their job, so that one lost zone or machine costs little. */
export function spreadReplicas(
  job: Job,
  list: ScoredCandidate[],
  taken: ReadonlyMap<string, number>,
): ScoredCandidate[] {
  if (job.spec.kind !== 'service' || job.spec.taskCount < 2) return list;
  let least = Infinity;
  for (const row of list) least = Math.min(least, taken.get(row.candidate.machine.zone) ?? 0);
  return list.filter((row) => (taken.get(row.candidate.machine.zone) ?? 0) === least);
}

/** A job failing everywhere goes round again, on the machines that failed it least often. */
export function leastFailedCandidates(job: Job, list: ScoredCandidate[]): ScoredCandidate[] {
  const count = (row: ScoredCandidate): number => job.failuresByMachine.get(row.candidate.machine.name) ?? 0;
  let least = Infinity;
  for (const row of list) least = Math.min(least, count(row));
  return list.filter((row) => count(row) === least);
}
