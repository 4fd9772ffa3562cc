/**
 * @file Handles the exit of a task: ends its assignment, stops its gang if it failed, and counts failures against the
 * job; quarantine.ts counts them against the machine.
 */
import { assignmentsOf, endAssignment, stopAssignment } from '../assignments/assignments.js';
import { requestForget } from '../commands/forgets.js';
import { taskKey } from '../model/assignment.js';
import type { Heartbeat, ReportedTask } from '../model/heartbeat.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type Timestamp, seconds, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { failsOnManyMachines, recordFailure } from './quarantine.js';

/** Retry delay of a job that has failed on few machines. */
const RETRY_DELAY_S = 0.2;

/**
 * Upper bound on the retry delay of a job that fails on many machines; below it, the delay doubles with each failure.
 */
const MAX_RETRY_DELAY_S = 60;

/** Upper bound on the exponent of the retry delay: keeps the power small before `MAX_RETRY_DELAY_S` caps it. */
const MAX_BACKOFF_EXPONENT = 6;

/** Retry delay after a worker refused a start command. */
const REFUSED_START_RETRY_DELAY = seconds(0.5);

/** Weight of one completed task in the moving average of a class's duration factor. */
const DURATION_SAMPLE_WEIGHT = 0.1;

/** Bounds on the ratio of run time to estimate that one task contributes to the duration factor. */
const MIN_DURATION_RATIO = 0.25;
const MAX_DURATION_RATIO = 4;

/** Handles an exited task in any heartbeat, even a delayed one, because an exit is final. */
export function onTaskExited(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  task: ReportedTask,
  now: Timestamp,
): void {
  const assignment = machine.assignments.get(taskKey(task.jobId, task.taskIndex));
  if (
    assignment !== undefined &&
    assignment.attempt === task.attempt &&
    assignment.agentEpoch === heartbeat.agentEpoch
  ) {
    const job = state.jobs.byId.get(task.jobId);
    const completed = task.exitReason === 'done';
    if (job !== undefined && !completed) onTaskFailure(state, job, machine, task, now);
    if (assignment.runningSince !== null && completed && job !== undefined)
      updateDurationFactor(state, job, now.monotonic - assignment.runningSince);
    endAssignment(state, assignment, completed, task.exitReason ?? 'exited', now.monotonic);
    if (job !== undefined && job.spec.kind === 'gang' && !completed) stopGangAttempt(state, job, task, now);
  }
  if (heartbeat.agentEpoch === machine.agentEpoch || machine.agentEpoch === 0)
    requestForget(state, machine.name, task.jobId, task.taskIndex, task.attempt, now.monotonic);
}

/**
 * Stops the other tasks of a gang's attempt after one task has failed: they run together, so the others have nothing
 * left to do.
 */
function stopGangAttempt(state: ClusterState, job: Job, task: ReportedTask, now: Timestamp): void {
  for (const assignment of assignmentsOf(job))
    if (assignment.attempt === task.attempt && assignment.stopRequest === null)
      stopAssignment(state, assignment, 0, `gang task failed: ${task.exitReason}`, now.monotonic);
}

function onTaskFailure(
  state: ClusterState,
  job: Job,
  machine: Machine,
  task: ReportedTask,
  now: Timestamp,
): void {
  switch (task.exitReason) {
    case 'error':
      return onTaskError(state, job, machine, now);
    case 'full':
    case 'busy':
    case 'no_such':
      job.retryNotBefore = now.monotonic + REFUSED_START_RETRY_DELAY;
      emitLog(
        state,
        'start refused',
        { machine: machine.name, job: job.spec.id, reason: task.exitReason },
        'info',
      );
      break;

    default:
  }
}

function onTaskError(state: ClusterState, job: Job, machine: Machine, now: Timestamp): void {
  job.failureCount += 1;
  job.failuresByMachine.set(machine.name, (job.failuresByMachine.get(machine.name) ?? 0) + 1);
  job.retryNotBefore = now.monotonic + retryDelay(job);
  recordFailure(state, machine, job, now.monotonic);
}

/** Returns the retry delay, which grows with each failure of a job that fails on many machines. */
function retryDelay(job: Job): Duration {
  if (!failsOnManyMachines(job)) return seconds(RETRY_DELAY_S);
  return seconds(Math.min(2 ** Math.min(job.failureCount, MAX_BACKOFF_EXPONENT), MAX_RETRY_DELAY_S));
}

/** Updates the duration factor of a class, the ratio of run times to estimates, from a completed task. */
function updateDurationFactor(state: ClusterState, job: Job, ranFor: Duration): void {
  const estimate = toSeconds(job.spec.estimatedDuration);
  if (estimate <= 0) return;
  const ratio = Math.min(MAX_DURATION_RATIO, Math.max(MIN_DURATION_RATIO, toSeconds(ranFor) / estimate));
  const previousFactor = state.jobs.durationFactors.get(job.spec.class) ?? 1;
  state.jobs.durationFactors.set(
    job.spec.class,
    previousFactor * (1 - DURATION_SAMPLE_WEIGHT) + ratio * DURATION_SAMPLE_WEIGHT,
  );
}
