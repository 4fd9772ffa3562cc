/**
 * @file What follows from the exit of a task: its assignment ends, its gang is stopped, failures are counted against the
 * job and the machine. Failures are counted here and nowhere else.
 */
import { endAssignment, stopAssignment } from '../assignments/assignments.js';
import { requestForget } from '../commands/forgets.js';
import { taskKey } from '../model/assignment.js';
import type { Heartbeat, ReportedTask } from '../model/heartbeat.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type Timestamp, seconds, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

/** A job that fails on more machines than this is taken to be at fault itself. */
const MAX_SUSPECT_MACHINES_OF_JOB = 2;

/** Delay of a retry after a failure on few machines. */
const RETRY_DELAY_S = 0.2;

/** The longest delay of a retry for a job that fails everywhere; before, it doubles with each failure. */
const MAX_RETRY_DELAY_S = 60;

/** Keeps the power of two that is capped by `MAX_RETRY_DELAY_S` small. */
const MAX_BACKOFF_EXPONENT = 6;

/** Delay of a retry after a worker refused a start. */
const REFUSED_START_RETRY_DELAY = seconds(0.5);

/** Weight of one completed task in the moving average of a class's duration factor. */
const DURATION_SAMPLE_WEIGHT = 0.1;

/** One task changes the duration factor by no more than these ratios of its run time to the estimate would. */
const MIN_DURATION_RATIO = 0.25;
const MAX_DURATION_RATIO = 4;

/** Handles an exited task in any heartbeat, also a delayed one: an exit stays true. */
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

/** A gang's tasks run together: once one has failed, the others of that attempt have nothing more to do. */
function stopGangAttempt(state: ClusterState, job: Job, task: ReportedTask, now: Timestamp): void {
  for (const chunk of job.chunks.values())
    for (const assignment of [...chunk.assignments.values()])
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
  machine.failuresByJob.set(job.spec.id, now.monotonic);
  quarantineIfFaulty(state, machine, now);
}

/** A job that fails everywhere is retried ever later. */
function retryDelay(job: Job): Duration {
  if (!failsOnManyMachines(job)) return seconds(RETRY_DELAY_S);
  return seconds(Math.min(2 ** Math.min(job.failureCount, MAX_BACKOFF_EXPONENT), MAX_RETRY_DELAY_S));
}

const failsOnManyMachines = (job: Job): boolean => job.failuresByMachine.size > MAX_SUSPECT_MACHINES_OF_JOB;

/** Different jobs failing on a machine are the machine's fault; jobs that fail everywhere do not count against it. */
function quarantineIfFaulty(state: ClusterState, machine: Machine, now: Timestamp): void {
  const failedJobs = [...machine.failuresByJob.keys()].filter((id) => {
    const job = state.jobs.byId.get(id);
    return job === undefined || !failsOnManyMachines(job);
  });
  if (machine.quarantined || failedJobs.length < state.settings.quarantineThreshold) return;
  machine.quarantined = true;
  machine.quarantinedSince = now.monotonic;
  emitLog(state, 'machine quarantined', { machine: machine.name, failedJobs }, 'info');
}

/** Learns from a completed task how far the estimates of its class are off. */
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
