/**
 * @file Compares the tasks in a machine's newest heartbeat with the assignments recorded for it: updates the phases of
 * the assignments, and ends those whose tasks the heartbeat proves gone.
 */
import { endAssignment } from '../assignments/assignments.js';
import { detectRepeatedStart } from '../commands/repeated-starts.js';
import { recordImageUse } from '../machines/image-cache.js';
import { type Assignment, attemptKey, taskKey } from '../model/assignment.js';
import type { Heartbeat, HeartbeatOrigin, ReportedTask } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { provesAbsence, requestAbsenceProof } from './absence-proof.js';
import { countUnacknowledgedStart, detectLostStarts } from './reachability.js';

/** A heartbeat that is being reconciled with the assignments of its machine. */
interface Reconciliation {
  readonly state: ClusterState;
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  readonly origin: HeartbeatOrigin;
  readonly now: MonotonicTime;
  /** Keys of all attempts that the heartbeat lists, exited ones included. */
  readonly listedAttempts: ReadonlySet<string>;
}

/** Reconciles a machine's assignments with the tasks in its newest heartbeat. */
export function reconcileAssignments(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  now: MonotonicTime,
): void {
  const listedAttempts = new Set<string>();
  machine.reportedTasks.clear();
  for (const task of heartbeat.tasks) {
    listedAttempts.add(attemptKey(task.jobId, task.taskIndex, task.attempt));
    if (task.state !== 'exited') machine.reportedTasks.set(taskKey(task.jobId, task.taskIndex), task);
  }
  const reconciliation: Reconciliation = { state, machine, heartbeat, origin, now, listedAttempts };
  for (const assignment of [...machine.assignments.values()])
    if (assignment.agentEpoch === heartbeat.agentEpoch) reconcileAssignment(reconciliation, assignment);
  detectLostStarts(state, machine, now);
  detectOrphanedTasks(state, machine);
}

function reconcileAssignment(reconciliation: Reconciliation, assignment: Assignment): void {
  const { state, machine, heartbeat, origin, listedAttempts } = reconciliation;
  const { jobId, taskIndex, attempt } = assignment;
  const reported = machine.reportedTasks.get(taskKey(jobId, taskIndex));
  if (reported !== undefined && reported.attempt === attempt)
    return onTaskReported(reconciliation, assignment, reported);
  // The heartbeat lists this attempt as exited, and its exit has already been handled.
  if (listedAttempts.has(attemptKey(jobId, taskIndex, attempt))) return;
  if (provesAbsence(state, machine, heartbeat, origin, assignment)) onTaskAbsent(reconciliation, assignment);
  else requestAbsenceProof(state, machine, assignment);
}

function onTaskReported(
  { state, machine, now }: Reconciliation,
  assignment: Assignment,
  reported: ReportedTask,
): void {
  if (reported.state !== 'exited') assignment.phase = reported.state;
  machine.unacknowledgedStarts = 0;
  if (reported.state === 'running' && assignment.runningSince === null) assignment.runningSince = now;
  if (assignment.startDelivery.kind === 'not-sent') assignment.startDelivery = { kind: 'previous-leader' };
  const job = state.jobs.byId.get(assignment.jobId);
  if (reported.state !== 'fetching' && job !== undefined) recordImageUse(state, machine, job.spec, now);
}

function onTaskAbsent({ state, machine, heartbeat, now }: Reconciliation, assignment: Assignment): void {
  if (assignment.phase !== 'assigned') {
    endAssignment(state, assignment, false, 'missing from heartbeat', now);
    return;
  }
  if (assignment.startDelivery.kind === 'response') countUnacknowledgedStart(machine, heartbeat.sequence);
  if (assignment.stopRequest !== null)
    endAssignment(state, assignment, false, `not started: ${assignment.stopRequest.reason}`, now);
}

/** Detects tasks on the machine that have no assignment: they take resources there until they are stopped. */
function detectOrphanedTasks(state: ClusterState, machine: Machine): void {
  const hadOrphanedTasks = machine.hasOrphanedTasks;
  machine.hasOrphanedTasks = false;
  for (const [key, task] of machine.reportedTasks) {
    if (machine.assignments.get(key)?.attempt === task.attempt) continue;
    machine.hasOrphanedTasks = true;
    detectRepeatedStart(state, machine, task);
  }
  if (hadOrphanedTasks || machine.hasOrphanedTasks) machine.resources = null;
  if (hadOrphanedTasks && !machine.hasOrphanedTasks) state.scheduling.cycleNeeded = true;
}
