/**
 * @file Decides whether an assigned task may be started now: what must be committed first, and the start order in a
 * gang.
 */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, toSeconds } from '../model/time.js';
import { isAssignmentCommitted } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { mayStartTasks } from '../state/leadership-timing.js';

/**
 * Share of the gang start timeout by which the image fetch times of a gang's tasks may differ. The remainder is kept as
 * a margin, because fetches take a third more or less than planned.
 */
const GANG_START_SKEW_SHARE = 0.4;

/**
 * True if the task may be started: its assignment is committed, its job is open and ready, and the leadership is
 * confirmed.
 */
export function isStartable(
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || job.status !== 'open' || assignment.stopRequest !== null) return false;
  if (state.jobs.dependencies.isWaiting(assignment.jobId)) return false;
  if (
    assignment.agentEpoch !== machine.agentEpoch ||
    !machine.hasShownTermToken ||
    assignment.phase !== 'assigned'
  )
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
  // A gang starts as a unit: none of its tasks is started before all its assignments are committed.
  for (const chunk of job.assignedChunks)
    for (const other of chunk.assignments.values()) if (!isAssignmentCommitted(job, other)) return false;
  return isNextInGangStartOrder(state, job, machine, assignment, now);
}

/**
 * True if it is the gang task's turn to start. The tasks with the slowest image fetches start first, because a task
 * whose image is cached would wait for the tasks that are still fetching, time out, and end the whole attempt. A task
 * that is late for any other reason delays the others no longer than its fetch should take.
 */
function isNextInGangStartOrder(
  state: ClusterState,
  job: Job,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  let longestRemainingS = 0;
  for (const chunk of job.assignedChunks)
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
