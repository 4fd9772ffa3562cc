/** @file Stops tasks for a job that preempts them, with a grace period for a checkpoint if there is time for one. */
import { assignmentsOf, stopAssignment } from '../assignments/assignments.js';
import { gracePeriodSeconds } from '../jobs/grace-period.js';
import { pendingSeconds } from '../jobs/deadline-slack.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { seconds, toSeconds } from '../model/time.js';
import { emitLog } from '../state/log-effects.js';
import type { SchedulingCycle } from './cycle-context.js';

/** Seconds. A start objective that was missed by more than this no longer shortens the grace period of victims. */
const OBJECTIVE_TOLERANCE_S = 5;

/** Stops a victim of a preemption. For a task of a gang, all tasks of the gang are stopped. */
export function evict(cycle: SchedulingCycle, assignment: Assignment, preemptor: Job): void {
  const { state, now } = cycle;
  const victim = state.jobs.byId.get(assignment.jobId);
  if (victim === undefined || assignment.stopRequest !== null) return;
  emitLog(
    state,
    'task preempted',
    {
      task: taskKey(assignment.jobId, assignment.taskIndex),
      machine: assignment.machineName,
      class: victim.spec.class,
      preemptor: preemptor.spec.id,
      preemptorClass: preemptor.spec.class,
    },
    'info',
  );
  const grace = checkpointWouldBeTooLate(cycle, victim, preemptor) ? 0 : gracePeriodSeconds(victim);
  victim.preemptionCount += 1;
  const stopped = victim.spec.kind === 'gang' ? assignmentsOf(victim) : [assignment];
  for (const each of stopped) stopAssignment(state, each, grace, 'preempted', now.monotonic);
}

/**
 * True if the preemptor is a production job whose start objective is shorter than the grace period of the victim, an
 * array. Its task then falls back to its last checkpoint.
 */
const checkpointWouldBeTooLate = (cycle: SchedulingCycle, victim: Job, preemptor: Job): boolean =>
  victim.spec.kind === 'array' &&
  preemptor.spec.priority === 'production' &&
  startObjectiveSeconds(cycle, preemptor) < gracePeriodSeconds(victim);

/**
 * Returns the seconds within which the job must start according to the objectives of its class, or Infinity if there is
 * none or the job has missed it by more than `OBJECTIVE_TOLERANCE_S`. After the loss of a service replica, the
 * objective applies again for the same time.
 */
function startObjectiveSeconds({ state, now }: SchedulingCycle, job: Job): number {
  let withinSeconds = Infinity;
  for (const objective of state.config.objectives)
    if (objective.kind === 'wait' && objective.class === job.spec.class && objective.threshold !== null)
      withinSeconds = Math.min(withinSeconds, toSeconds(objective.threshold));
  if (withinSeconds === Infinity) return Infinity;
  const inForceSeconds = withinSeconds + OBJECTIVE_TOLERANCE_S;
  const replicaJustLost =
    job.replicaLostAt !== null && now.monotonic - job.replicaLostAt < seconds(inForceSeconds);
  return pendingSeconds(job, now) > inForceSeconds && !replicaJustLost ? Infinity : withinSeconds;
}
