/** @file Handles preemption notices of spot machines: stops tasks that would not finish in time. */
import { assignmentsOf, stopAssignment } from '../assignments/assignments.js';
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import { gracePeriodSeconds } from '../jobs/grace-period.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

/** Margin in seconds between the expected end of a task, or of its checkpoint, and the preemption of its machine. */
const NOTICE_MARGIN_S = 2;

/**
 * Stops tasks that are not expected to finish before their machine is preempted, so that they write a checkpoint and
 * move to another machine in time.
 */
export function handlePreemptionNotices(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (machine.preemptionAt === null || !machine.hasShownTermToken) continue;
    const remainingS = toSeconds(machine.preemptionAt - now.monotonic);
    for (const assignment of [...machine.assignments.values()]) {
      const job = state.jobs.byId.get(assignment.jobId);
      if (job === undefined || assignment.stopRequest !== null) continue;
      // A notice may be half its nominal length, so a task that has to write a checkpoint is stopped while there is
      // certainly enough time for it.
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

/**
 * Stops a task, or all tasks of a gang: a gang that loses one task loses all, so all write their checkpoints together.
 */
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
