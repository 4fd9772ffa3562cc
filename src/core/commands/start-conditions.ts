/** @file Whether a task with an assignment may be started now: what must be committed, and the start order in a gang. */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, toSeconds } from '../model/time.js';
import { isAssignmentCommitted } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { mayStartTasks } from '../state/leadership-timing.js';

/**
 * The share of the time for which a gang's tasks wait for one another that image fetches may differ by. The rest is
 * kept because fetches take a third more or less than planned.
 */
const GANG_START_SKEW_SHARE = 0.4;

/** Whether the task may be started: its assignment is committed, its job open and ready, the leadership confirmed. */
export function isStartable(
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || job.status !== 'open' || assignment.stopRequest !== null) return false;
  if (state.jobs.dependencies.isWaiting(assignment.jobId)) return false;
  if (assignment.agentEpoch !== machine.agentEpoch || !machine.fenced || assignment.phase !== 'assigned')
    return false;
  if (!isAssignmentCommitted(job, assignment) || !mayStartTasks(state.term.confirmedAt, now)) return false;
  return job.spec.kind !== 'gang' || isGangTaskStartable(state, job, machine, assignment, now);
}

function isGangTaskStartable(
  state: ClusterState,
  job: Job,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  // A gang starts as one: no task of it before all assignments are committed.
  for (const chunk of job.chunks.values())
    for (const other of chunk.assignments.values()) if (!isAssignmentCommitted(job, other)) return false;
  return isNextInGangStartOrder(state, job, machine, assignment, now);
}

/**
 * Whether it is the gang task's turn to start: one whose image is cached would wait for those that still fetch, time
 * out, and end the whole attempt. The slowest fetches start first; a task that is late for any other reason delays the
 * others no longer than its fetch should take.
 */
function isNextInGangStartOrder(
  state: ClusterState,
  job: Job,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  let longestRemainingS = 0;
  for (const chunk of job.chunks.values())
    for (const other of chunk.assignments.values()) {
      if (other === assignment || (other.phase !== 'assigned' && other.phase !== 'fetching')) continue;
      const elapsedS = other.startSentAt === null ? 0 : toSeconds(now - other.startSentAt);
      const fetchS = imageFetchSeconds(state, job, state.machines.byName.get(other.machineName));
      longestRemainingS = Math.max(longestRemainingS, fetchS - elapsedS);
    }
  const maxSkewS = toSeconds(state.config.gangStartTimeout) * GANG_START_SKEW_SHARE;
  return imageFetchSeconds(state, job, machine) >= longestRemainingS - maxSkewS;
}

function imageFetchSeconds(state: ClusterState, job: Job, machine: Machine | undefined): number {
  if (machine === undefined || machine.cachedImages.has(job.spec.image)) return 0;
  const gbPerS = state.machines.types.get(machine.type)?.fetchGbPerS ?? 0;
  return gbPerS > 0 ? job.spec.imageGb / gbPerS : 0;
}
