/** @file Assigns the tasks of arrays and the replicas of services, one task at a time. */
import { assignTask, assignableTasks, assignmentsByZone } from '../assignments/assignments.js';
import { hasDeadlineSlack, isUrgent } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import {
  NO_CAPACITY,
  PREEMPTION_IN_PROGRESS,
  type PendingReason,
  QUOTA_EXCEEDED,
  TOO_MANY_ASSIGNMENTS,
  ZONE_CONSTRAINTS,
} from '../model/pending-reasons.js';
import { fits } from '../model/resources.js';
import { getOrCreateChunk } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type Candidate, reserveTask } from './candidates.js';
import { type SchedulingCycle, feasibleCandidates } from './cycle-context.js';
import { isZoneAllowed } from './placement-constraints.js';
import { preemptFor } from './preemption.js';
import { type ScoredCandidate, type TieBreaker, pickBest, scoreCandidate, updateScore } from './scoring.js';
import {
  EMPTY_MACHINES_KEPT,
  excludeEmptyMachines,
  leastFailedCandidates,
  preferSchedulable,
  spreadReplicas,
  tieBreakScore,
} from './tie-breaking.js';

/** In a smaller fleet no empty machines are kept, because they would be more than an eighth of it. */
const MIN_FLEET_TO_KEEP_EMPTY_MACHINES = EMPTY_MACHINES_KEPT * 8;

/** A job whose tasks are being assigned, with the machines that still have capacity for one of them. */
interface TaskPlacement {
  readonly job: Job;
  readonly tieBreaker: TieBreaker;
  readonly tasksByZone: Map<string, number>;
  scored: ScoredCandidate[];
}

/** Assigns as many of the job's pending tasks as fit. */
export function scheduleTasks(cycle: SchedulingCycle, job: Job): void {
  const { state } = cycle;
  const refusal = refusalReason(state, job);
  if (refusal !== null) {
    job.pendingReason = refusal;
    return;
  }
  const feasible = taskCandidates(cycle, job);
  if (feasible.length === 0) {
    job.pendingReason = NO_CAPACITY;
    return;
  }
  const tieBreaker: TieBreaker = (candidate) => tieBreakScore(state, job, candidate);
  const placement: TaskPlacement = {
    job,
    tieBreaker,
    tasksByZone: assignmentsByZone(job),
    scored: feasible.map((candidate) => scoreCandidate(job.spec, candidate, state.settings, tieBreaker)),
  };
  for (const task of job.unassignedTasks) {
    const pendingReason = scheduleTask(cycle, placement, task);
    if (pendingReason === null) continue;
    job.pendingReason = pendingReason;
    return;
  }
}

/** Returns why no task of the job may be assigned, whatever capacity there is, or null if one may be. */
function refusalReason(state: ClusterState, { spec }: Job): PendingReason | null {
  if (!state.jobs.quotas.allows(spec)) return QUOTA_EXCEEDED;
  return assignableTasks(state) === 0 ? TOO_MANY_ASSIGNMENTS : null;
}

/** Returns the feasible candidates, without the empty machines kept for other jobs if the job has deadline slack. */
function taskCandidates(cycle: SchedulingCycle, job: Job): Candidate[] {
  const { state, candidates, now } = cycle;
  const feasible = feasibleCandidates(cycle, job);
  if (
    feasible.length > 0 &&
    candidates.length >= MIN_FLEET_TO_KEEP_EMPTY_MACHINES &&
    hasDeadlineSlack(state, job, now)
  )
    excludeEmptyMachines(feasible, candidates);
  return feasible;
}

/** Assigns one task and returns null, or returns the reason why this task and those after it stay pending. */
function scheduleTask(cycle: SchedulingCycle, placement: TaskPlacement, task: number): PendingReason | null {
  const { state } = cycle;
  const { job } = placement;
  const refusal = refusalReason(state, job);
  if (refusal !== null) return refusal;
  const preferred = preferredCandidates(placement);
  // If fetching the image would miss the start deadline, preempting tasks of lower priority on machines that have it
  // cached is tried first. Fetching the image is the second choice.
  if (fetchWouldBeTooLate(cycle, job, preferred) && preemptFor(cycle, job, true))
    return PREEMPTION_IN_PROGRESS;
  const chosen = pickBest(preferred, state.settings);
  if (chosen === null) return placement.scored.length === 0 ? NO_CAPACITY : ZONE_CONSTRAINTS;
  assignTo(cycle, placement, task, chosen);
  return null;
}

/** Returns the scored candidates in allowed zones, narrowed by the preferences that take precedence over cost. */
function preferredCandidates({ job, scored, tasksByZone }: TaskPlacement): ScoredCandidate[] {
  const allowed = preferSchedulable(
    scored.filter(({ candidate }) => isZoneAllowed(job, candidate.machine.zone, tasksByZone)),
  );
  // A machine on which the job failed is used only if no other allowed candidate is left.
  const withoutFailures =
    job.failuresByMachine.size === 0
      ? allowed
      : allowed.filter(({ candidate }) => !job.failuresByMachine.has(candidate.machine.name));
  return withoutFailures.length > 0
    ? spreadReplicas(job, withoutFailures, tasksByZone)
    : leastFailedCandidates(job, allowed);
}

const fetchWouldBeTooLate = (
  { state, now }: SchedulingCycle,
  job: Job,
  preferred: readonly ScoredCandidate[],
): boolean =>
  preferred.length > 0 &&
  isUrgent(state, job, now) &&
  !preferred.some(({ candidate }) => candidate.machine.cachedImages.has(job.spec.image));

function assignTo(
  { state, now }: SchedulingCycle,
  placement: TaskPlacement,
  task: number,
  chosen: ScoredCandidate,
): void {
  const { job, tasksByZone, tieBreaker } = placement;
  const { candidate } = chosen;
  const attempt = getOrCreateChunk(job, task).highestAttempt + 1;
  assignTask(state, job, task, attempt, candidate.machine, now.monotonic);
  const { zone } = candidate.machine;
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
  reserveTask(candidate, job.spec);
  if (fits(job.spec, candidate.free) && fits(job.spec, candidate.projected))
    updateScore(chosen, job.spec, state.settings, tieBreaker);
  else placement.scored = placement.scored.filter((scored) => scored !== chosen);
}
