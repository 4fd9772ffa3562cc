/** @file The life of an intent, one possible place of a task: placed, stopped, ended on proof. */
import { CHUNK_TASKS, chunkOf, releaseFinishedChunks, markChunkChanged } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { getOrCreateMap } from '../state/maps.js';
import { isOverloaded } from '../state/overload.js';
import { startMayStillArrive } from '../state/command-state.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, toSeconds } from '../model/time.js';

/** Records a possible place of a task; nothing is sent before it is committed. */
export function assignTask(
  state: ClusterState,
  job: Job,
  task: number,
  attempt: number,
  machine: Machine,
  now: MonotonicTime,
): Assignment {
  const chunk = chunkOf(job, task);
  chunk.highestAttempt = Math.max(chunk.highestAttempt, attempt);
  markChunkChanged(state, job, chunk, true, now);
  const assignment: Assignment = {
    jobId: job.spec.id,
    taskIndex: task,
    attempt,
    machineName: machine.name,
    agentEpoch: machine.agentEpoch,
    zone: machine.zone,
    recordVersion: state.records.version,
    createdAt: now,
    phase: 'assigned',
    stopRequest: null,
    startSentInSequence: null,
    startSentAt: null,
    runningSince: null,
  };
  chunk.assignments.set(task, assignment);
  job.unassignedTasks.delete(task);
  if (job.unassignedTasks.size === 0) state.jobs.pending.delete(job.spec.id);
  job.assignedCount += 1;
  state.jobs.quotas.acquire(job.spec);
  machine.assignments.set(taskKey(job.spec.id, task), assignment);
  machine.resources = null;
  machine.idleSince = null;
  return assignment;
}

/** Ends an intent on proof that the task is not on the machine and cannot come there. */
export function endAssignment(
  state: ClusterState,
  assignment: Assignment,
  completed: boolean,
  reason: string,
  now: MonotonicTime,
): void {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined) return;
  const chunk = chunkOf(job, assignment.taskIndex);
  if (chunk.assignments.get(assignment.taskIndex) !== assignment) return;
  chunk.assignments.delete(assignment.taskIndex);
  const machine = state.machines.byName.get(assignment.machineName);
  if (machine !== undefined) {
    machine.assignments.delete(taskKey(assignment.jobId, assignment.taskIndex));
    machine.resources = null;
  }
  job.assignedCount -= 1;
  state.jobs.quotas.release(job.spec);
  if (completed && !chunk.completedTasks.has(assignment.taskIndex)) {
    chunk.completedTasks.add(assignment.taskIndex);
    job.completedCount += 1;
  } else if (!completed && job.status === 'open' && !chunk.completedTasks.has(assignment.taskIndex)) {
    job.unassignedTasks.add(assignment.taskIndex);
    state.jobs.pending.add(assignment.jobId);
    if (job.spec.kind === 'service') job.replicaLostAt = now;
  }
  markChunkChanged(state, job, chunk, false, now);
  releaseFinishedChunks(job);
  state.scheduling.cycleNeeded = true;
  emitLog(state, 'place ended', {
    task: taskKey(assignment.jobId, assignment.taskIndex),
    attempt: assignment.attempt,
    machine: assignment.machineName,
    why: reason,
    ...(assignment.runningSince === null
      ? {}
      : { ran: toSeconds(now - assignment.runningSince), expected: toSeconds(job.spec.estimatedDuration) }),
  });
  if (job.completedCount === job.spec.taskCount) requestCompletion(state, job, now);
}

/** Has the job committed as done once all its results are. */
export function requestCompletion(state: ClusterState, job: Job, now: MonotonicTime): void {
  if (job.status !== 'open' || job.completionRequested || job.spec.kind === 'service') return;
  job.completionRequested = true;
  state.records.jobsToComplete.set(job.spec.id, now);
  // Its user hears of the end once all results are recorded.
  for (const chunk of job.chunks.values())
    if (chunk.version > chunk.committedVersion && chunk.page !== null)
      state.records.urgentPages.add(chunk.page.id);
}

/**
 * A gang's tasks complete together: once one is done, all are, also one whose machine never came to tell it. Without
 * this a gang whose last member was lost with its machine waited for ever, neither done nor placed again.
 */
export function completeGang(state: ClusterState, job: Job, now: MonotonicTime): void {
  for (const task of [...job.unassignedTasks]) {
    const chunk = chunkOf(job, task);
    job.unassignedTasks.delete(task);
    chunk.completedTasks.add(task);
    job.completedCount += 1;
    markChunkChanged(state, job, chunk, true, now);
  }
  state.jobs.pending.delete(job.spec.id);
  if (job.completedCount === job.spec.taskCount) requestCompletion(state, job, now);
}

/** An intent of this term whose `run` never left can be ended at once: nobody else could have sent it. */
export const startNeverSent = (state: ClusterState, assignment: Assignment): boolean =>
  assignment.startSentInSequence === null && !startMayStillArrive(state.commands, assignment);

/** Has a task stopped, or its place ended at once if its start never left. */
export function stopAssignment(
  state: ClusterState,
  assignment: Assignment,
  grace: number,
  reason: string,
  now: MonotonicTime,
): void {
  if (startNeverSent(state, assignment)) {
    endAssignment(state, assignment, false, `never sent: ${reason}`, now);
    return;
  }
  if (assignment.stopRequest !== null && assignment.stopRequest.gracePeriodS <= grace) return;
  assignment.stopRequest = { gracePeriodS: grace, reason, requestedAt: now };
  const machine = state.machines.byName.get(assignment.machineName);
  if (machine !== undefined) machine.resources = null;
  if (machine === undefined || machine.agentEpoch !== assignment.agentEpoch || !machine.fenced) return;
  // The answer to its next report carries it too.
  if (isOverloaded(state.term)) return;
  state.effects.push({
    kind: 'send-commands',
    machineName: machine.name,
    agentEpoch: machine.agentEpoch,
    commands: [
      {
        op: 'stop',
        jobId: assignment.jobId,
        taskIndex: assignment.taskIndex,
        attempt: assignment.attempt,
        gracePeriodS: grace,
      },
    ],
  });
}

/** Stops all tasks of a job. */
export function stopAllAssignments(
  state: ClusterState,
  job: Job,
  reason: string,
  now: MonotonicTime,
  grace = 0,
): void {
  for (const chunk of job.chunks.values())
    for (const assignment of [...chunk.assignments.values()])
      stopAssignment(state, assignment, grace, reason, now);
}

/** All possible places of a job’s tasks. */
export function assignmentsOf(job: Job): Assignment[] {
  const out: Assignment[] = [];
  for (const chunk of job.chunks.values()) out.push(...chunk.assignments.values());
  return out;
}

/** How many tasks may be in each zone now, by recorded intents. */
export function assignmentsByZone(job: Job): Map<string, number> {
  const taken = new Map<string, number>();
  for (const chunk of job.chunks.values())
    for (const assignment of chunk.assignments.values())
      taken.set(assignment.zone, (taken.get(assignment.zone) ?? 0) + 1);
  return taken;
}

/** Remembers that an exited task is to be forgotten once its result is committed. */
export function requestForget(
  state: ClusterState,
  machine: string,
  job: string,
  task: number,
  attempt: number,
  now: MonotonicTime,
): void {
  const known = state.jobs.byId.get(job);
  const chunk = known === undefined ? undefined : known.chunks.get(Math.floor(task / CHUNK_TASKS));
  const key = taskKey(job, task);
  const map = getOrCreateMap(state.commands.pendingForgets, machine);
  if (map.get(key)?.attempt === attempt) return;
  map.set(key, {
    jobId: job,
    taskIndex: task,
    attempt,
    chunkIndex: chunk?.index ?? null,
    recordVersion: chunk?.version ?? 0,
    requestedAt: now,
  });
}
