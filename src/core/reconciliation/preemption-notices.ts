/** @file Tasks on spot machines that the cloud is about to take back. */
import { assignmentsOf, stopAssignment } from '../assignments/assignments.js';
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import { gracePeriodSeconds } from '../jobs/grace-period.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

/** Time kept between the expected end of a task, or of its checkpoint, and the moment at which its machine is taken. */
const NOTICE_MARGIN_S = 2;

/** Stops tasks that will not be done before their machine is taken, so that they checkpoint and move in time. */
export function handlePreemptionNotices(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (machine.preemptionAt === null || !machine.fenced) continue;
    const remainingS = toSeconds(machine.preemptionAt - now.monotonic);
    for (const assignment of [...machine.assignments.values()]) {
      const job = state.jobs.byId.get(assignment.jobId);
      if (job === undefined || assignment.stopRequest !== null) continue;
      // A notice may be half its nominal length: what has to checkpoint is stopped while there surely is time.
      const mayFinish =
        finishesWithin(state, job, assignment, remainingS, now) &&
        remainingS > gracePeriodSeconds(job) + NOTICE_MARGIN_S;
      if (!mayFinish) stopBeforePreemption(state, machine, job, assignment, remainingS, now);
    }
  }
}

function finishesWithin(
  state: ClusterState,
  job: Job,
  assignment: Assignment,
  remainingS: number,
  now: Timestamp,
): boolean {
  if (assignment.runningSince === null || job.spec.kind === 'service') return false;
  const ranForS = toSeconds(now.monotonic - assignment.runningSince);
  return estimatedSeconds(state, job) - ranForS < remainingS - NOTICE_MARGIN_S;
}

/** A gang loses all its tasks with one, so that all checkpoint together. */
function stopBeforePreemption(
  state: ClusterState,
  machine: Machine,
  job: Job,
  assignment: Assignment,
  remainingS: number,
  now: Timestamp,
): void {
  emitLog(
    state,
    'task stopped before spot preemption',
    { task: taskKey(assignment.jobId, assignment.taskIndex), machine: machine.name, remainingS },
    'info',
  );
  const stopped = job.spec.kind === 'gang' ? assignmentsOf(job) : [assignment];
  for (const each of stopped)
    stopAssignment(state, each, gracePeriodSeconds(job), 'spot preemption notice', now.monotonic);
}
