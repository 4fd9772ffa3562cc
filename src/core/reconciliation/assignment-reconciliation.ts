/**
 * @file Compares the tasks in a machine's newest heartbeat with the assignments recorded for it: updates the phases of
 * the assignments, and ends those whose tasks the heartbeat proves gone.
 */
import { endAssignment } from '../assignments/assignments.js';
import { recordImageUse } from '../machines/image-cache.js';
import { type Assignment, attemptKey, taskKey } from '../model/assignment.js';
import type { Heartbeat, HeartbeatOrigin, ReportedTask } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { provesAbsence, requestAbsenceProof } from './absence-proof.js';
import { countUnacknowledgedStart, detectLostStarts } from './reachability.js';

/** Reconciles a machine's assignments with the tasks in its newest heartbeat. */
export function reconcileAssignments(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  now: Timestamp,
): void {
  const listedAttempts = new Set<string>();
  machine.reportedTasks.clear();
  for (const task of heartbeat.tasks) {
    listedAttempts.add(attemptKey(task.jobId, task.taskIndex, task.attempt));
    if (task.state !== 'exited') machine.reportedTasks.set(taskKey(task.jobId, task.taskIndex), task);
  }
  for (const assignment of [...machine.assignments.values()])
    if (assignment.agentEpoch === heartbeat.agentEpoch)
      reconcileAssignment(state, machine, heartbeat, origin, assignment, listedAttempts, now);
  detectLostStarts(state, machine, now.monotonic);
  detectOrphanedTasks(state, machine);
}

function reconcileAssignment(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  assignment: Assignment,
  listedAttempts: ReadonlySet<string>,
  now: Timestamp,
): void {
  const { jobId, taskIndex, attempt } = assignment;
  const reported = machine.reportedTasks.get(taskKey(jobId, taskIndex));
  if (reported !== undefined && reported.attempt === attempt)
    return onTaskReported(state, machine, assignment, reported, now);
  // The heartbeat lists this attempt as exited, and its exit has already been handled.
  if (listedAttempts.has(attemptKey(jobId, taskIndex, attempt))) return;
  if (provesAbsence(state, machine, heartbeat, origin, assignment))
    onTaskAbsent(state, machine, heartbeat, assignment, now);
  else requestAbsenceProof(state, machine, assignment);
}

function onTaskReported(
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  reported: ReportedTask,
  now: Timestamp,
): void {
  if (reported.state !== 'exited') assignment.phase = reported.state;
  machine.unacknowledgedStarts = 0;
  if (reported.state === 'running' && assignment.runningSince === null)
    assignment.runningSince = now.monotonic;
  if (assignment.startDelivery.kind === 'not-sent') assignment.startDelivery = { kind: 'previous-leader' };
  const job = state.jobs.byId.get(assignment.jobId);
  if (reported.state !== 'fetching' && job !== undefined)
    recordImageUse(state, machine, job.spec, now.monotonic);
}

function onTaskAbsent(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  assignment: Assignment,
  now: Timestamp,
): void {
  if (assignment.phase !== 'assigned') {
    endAssignment(state, assignment, false, 'missing from heartbeat', now.monotonic);
    return;
  }
  if (assignment.startDelivery.kind === 'response') countUnacknowledgedStart(machine, heartbeat.sequence);
  if (assignment.stopRequest !== null)
    endAssignment(state, assignment, false, `not started: ${assignment.stopRequest.reason}`, now.monotonic);
}

/** Detects tasks on the machine that have no assignment: they take resources there until they are stopped. */
function detectOrphanedTasks(state: ClusterState, machine: Machine): void {
  const hadOrphanedTasks = machine.hasOrphanedTasks;
  machine.hasOrphanedTasks = false;
  for (const [key, task] of machine.reportedTasks)
    if (machine.assignments.get(key)?.attempt !== task.attempt) machine.hasOrphanedTasks = true;
  if (hadOrphanedTasks || machine.hasOrphanedTasks) machine.resources = null;
  if (hadOrphanedTasks && !machine.hasOrphanedTasks) state.scheduling.cycleNeeded = true;
}
