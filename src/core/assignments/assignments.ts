/**
 * @file Life cycle of assignments: creation, restoration from records, stop, and end on proof. It owns the bookkeeping
 * of assignments in chunks, jobs, machines and quotas. It must never end an assignment whose task may still be running.
 */
import { type Assignment, type StartDelivery, attemptKey, taskKey } from '../model/assignment.js';
import type { LogFields } from '../model/effects.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { AssignmentRecord, TaskChunk } from '../model/records.js';
import { type MonotonicTime, toSeconds } from '../model/time.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import { addCompletedTask, addToChunk, getOrCreateChunk, removeFromChunk } from '../records/chunks.js';
import { markChunkChanged } from '../records/record-changes.js';
import { releaseChunkIfFinished } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import { startMayStillArrive } from '../state/command-state.js';
import { addUnassignedTask, removeUnassignedTask } from '../state/job-table.js';
import { emitLog } from '../state/log-effects.js';
import { isOverloaded } from '../state/overload.js';
import { requestCompletionIfAllDone } from './job-completion.js';

/** Assigns a task to a machine. No command is sent before the assignment is committed. */
export function assignTask(
  state: ClusterState,
  job: Job,
  taskIndex: number,
  attempt: number,
  machine: Machine,
  now: MonotonicTime,
): Assignment {
  const chunk = getOrCreateChunk(job, taskIndex);
  chunk.highestAttempt = Math.max(chunk.highestAttempt, attempt);
  markChunkChanged(state, job, chunk, true, now);
  const { name: machineName, agentEpoch, zone } = machine;
  const record: AssignmentRecord = { taskIndex, attempt, machineName, agentEpoch, zone };
  const assignment = newAssignment(job, record, state.records.version, { kind: 'not-sent' }, now);
  addAssignment(state, job, chunk, machine, assignment);
  removeUnassignedTask(state.jobs, job, taskIndex);
  machine.idleSince = null;
  return assignment;
}

/** Restores a recorded assignment at the beginning of a term. Only proof that the task is not running ends it. */
export function restoreAssignment(
  state: ClusterState,
  job: Job,
  chunk: TaskChunk,
  record: AssignmentRecord,
  now: MonotonicTime,
): void {
  const machine = getOrAddMachine(state, record.machineName, now);
  const assignment = newAssignment(job, record, 0, { kind: 'previous-leader' }, now);
  addAssignment(state, job, chunk, machine, assignment);
  job.unassignedTasks.delete(record.taskIndex);
}

const newAssignment = (
  job: Job,
  record: AssignmentRecord,
  recordVersion: number,
  startDelivery: StartDelivery,
  now: MonotonicTime,
): Assignment => ({
  jobId: job.spec.id,
  taskIndex: record.taskIndex,
  attempt: record.attempt,
  machineName: record.machineName,
  agentEpoch: record.agentEpoch,
  zone: record.zone,
  recordVersion,
  createdAt: now,
  phase: 'assigned',
  stopRequest: null,
  startDelivery,
  startSentAt: null,
  runningSince: null,
});

function addAssignment(
  state: ClusterState,
  job: Job,
  chunk: TaskChunk,
  machine: Machine,
  assignment: Assignment,
): void {
  addToChunk(job, chunk, assignment);
  job.assignedCount += 1;
  state.jobs.assignmentCount += 1;
  state.jobs.quotas.acquire(job.spec);
  machine.assignments.set(taskKey(assignment.jobId, assignment.taskIndex), assignment);
  machine.resources = null;
}

function removeAssignment(state: ClusterState, job: Job, chunk: TaskChunk, assignment: Assignment): void {
  removeFromChunk(job, chunk, assignment);
  job.assignedCount -= 1;
  state.jobs.assignmentCount -= 1;
  state.jobs.quotas.release(job.spec);
  const machine = state.machines.byName.get(assignment.machineName);
  if (machine === undefined) return;
  machine.assignments.delete(taskKey(assignment.jobId, assignment.taskIndex));
  machine.resources = null;
}

/** Ends an assignment. The caller must have proof that the task is not on the machine and cannot start there. */
export function endAssignment(
  state: ClusterState,
  assignment: Assignment,
  completed: boolean,
  reason: string,
  now: MonotonicTime,
): void {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined) return;
  const chunk = getOrCreateChunk(job, assignment.taskIndex);
  if (chunk.assignments.get(assignment.taskIndex) !== assignment) return;
  removeAssignment(state, job, chunk, assignment);
  if (!chunk.completedTasks.has(assignment.taskIndex)) {
    if (completed) {
      addCompletedTask(chunk, assignment.taskIndex);
    } else if (job.status === 'open') {
      addUnassignedTask(state.jobs, job, assignment.taskIndex);
      if (job.spec.kind === 'service') job.replicaLostAt = now;
    }
  }
  markChunkChanged(state, job, chunk, false, now);
  releaseChunkIfFinished(job, chunk);
  state.scheduling.cycleNeeded = true;
  emitLog(state, 'assignment ended', endFields(job, assignment, reason, now));
  requestCompletionIfAllDone(state, job, now);
}

const endFields = (job: Job, assignment: Assignment, reason: string, now: MonotonicTime): LogFields => ({
  task: taskKey(assignment.jobId, assignment.taskIndex),
  attempt: assignment.attempt,
  machine: assignment.machineName,
  reason,
  ...(assignment.runningSince === null
    ? {}
    : {
        ranS: toSeconds(now - assignment.runningSince),
        estimatedS: toSeconds(job.spec.estimatedDuration),
      }),
});

/**
 * Whether the start command of an assignment was never sent. Such an assignment was made in this term and can end at
 * once, because no other leader could have sent the command.
 */
export const startNeverSent = (state: ClusterState, assignment: Assignment): boolean =>
  assignment.startDelivery.kind === 'not-sent' && !startMayStillArrive(state.commands, assignment);

/** Requests the stop of a task. If its start command was never sent, the assignment ends at once. */
export function stopAssignment(
  state: ClusterState,
  assignment: Assignment,
  gracePeriodS: number,
  reason: string,
  now: MonotonicTime,
): void {
  if (startNeverSent(state, assignment)) {
    endAssignment(state, assignment, false, `start never sent: ${reason}`, now);
    return;
  }
  if (assignment.stopRequest !== null && assignment.stopRequest.gracePeriodS <= gracePeriodS) return;
  assignment.stopRequest = { gracePeriodS, reason, requestedAt: now };
  emitLog(state, 'stop requested', {
    attempt: attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt),
    machine: assignment.machineName,
    agentEpoch: assignment.agentEpoch,
    gracePeriodS,
    reason,
  });
  const machine = state.machines.byName.get(assignment.machineName);
  if (machine === undefined) return;
  machine.resources = null;
  if (machine.agentEpoch !== assignment.agentEpoch || !machine.hasShownTermToken) return;
  // The response to the worker's next heartbeat also carries the command.
  if (!isOverloaded(state.term)) sendStop(state, machine, assignment, gracePeriodS);
}

function sendStop(
  state: ClusterState,
  machine: Machine,
  { jobId, taskIndex, attempt }: Assignment,
  gracePeriodS: number,
): void {
  state.effects.push({
    kind: 'send-commands',
    machineName: machine.name,
    agentEpoch: machine.agentEpoch,
    commands: [{ op: 'stop', jobId, taskIndex, attempt, gracePeriodS }],
  });
}

/** Stops all tasks of a job. */
export function stopAllAssignments(
  state: ClusterState,
  job: Job,
  reason: string,
  now: MonotonicTime,
  gracePeriodS = 0,
): void {
  for (const assignment of assignmentsOf(job)) stopAssignment(state, assignment, gracePeriodS, reason, now);
}

/** Returns how many more tasks may be assigned before the leader holds as many as it can. */
export const assignableTasks = ({ config, jobs }: ClusterState): number =>
  Math.max(0, config.maxAssignments - jobs.assignmentCount);

/**
 * Whether all tasks of a gang may be assigned at once. A gang accepted under a higher bound must run too, so no gang
 * needs more than half of the bound to be free.
 */
export const mayAssignGang = (state: ClusterState, { spec }: Job): boolean =>
  assignableTasks(state) >= Math.min(spec.taskCount, Math.floor(state.config.maxAssignments / 2));

/** Returns all assignments of a job's tasks. */
export function assignmentsOf(job: Job): Assignment[] {
  const assignments: Assignment[] = [];
  for (const chunk of job.assignedChunks) assignments.push(...chunk.assignments.values());
  return assignments;
}

/** Returns the number of a job's assigned tasks by zone. */
export function assignmentsByZone(job: Job): Map<string, number> {
  const countByZone = new Map<string, number>();
  for (const chunk of job.assignedChunks)
    for (const { zone } of chunk.assignments.values())
      countByZone.set(zone, (countByZone.get(zone) ?? 0) + 1);
  return countByZone;
}
