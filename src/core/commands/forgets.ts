/**
 * @file Decides when workers may forget exited tasks: once their results are committed, and with a fencing token under
 * which no copy of a start command for them is executed. This module owns the pending forgets: the handling of exits queues them, and they are selected for
 * sending and dropped here.
 */
import { attemptKey, taskKey } from '../model/assignment.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { PendingForget } from '../model/worker-command.js';
import { chunkIndexOf } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type CommandState, isStartInFlight } from '../state/command-state.js';
import { getOrCreateMap } from '../state/maps.js';
import { areDirectStartsFenced, raiseTokenFor } from './worker-tokens.js';

/** Queues a forget command for an exited task, to be sent once the current version of its chunk is committed. */
export function requestForget(
  state: ClusterState,
  machineName: string,
  jobId: string,
  taskIndex: number,
  attempt: number,
  now: MonotonicTime,
): void {
  const chunk = state.jobs.byId.get(jobId)?.chunks.get(chunkIndexOf(taskIndex));
  const key = taskKey(jobId, taskIndex);
  const forgets = getOrCreateMap(state.commands.pendingForgets, machineName);
  if (forgets.get(key)?.attempt === attempt) return;
  forgets.set(key, {
    jobId,
    taskIndex,
    attempt,
    chunkIndex: chunk?.index ?? null,
    recordVersion: chunk?.version ?? 0,
    requestedAt: now,
  });
}

/**
 * Returns the forgets for the response to a heartbeat. A worker that has forgotten an attempt would start it again if a
 * copy of a direct start arrived, so the token of the response is raised if needed, and refuses the copy.
 */
export function forgetsToSend(state: ClusterState, machine: Machine): PendingForget[] {
  const pending = state.commands.pendingForgets.get(machine.name);
  if (pending === undefined || pending.size === 0 || !machine.hasShownTermToken) return [];
  const forgets = [...pending.values()].filter((forget) => mayForget(state, machine, forget));
  raiseTokenFor(state, machine, forgets);
  return forgets.filter((forget) => areDirectStartsFenced(state, machine.name, forget));
}

function mayForget(state: ClusterState, machine: Machine, forget: PendingForget): boolean {
  const key = attemptKey(forget.jobId, forget.taskIndex, forget.attempt);
  if (isStartInFlight(state.commands, machine.name, key)) return false;
  const job = state.jobs.byId.get(forget.jobId);
  // A finished job needs no more results.
  if (job === undefined || forget.chunkIndex === null || job.status !== 'open') return true;
  return (job.chunks.get(forget.chunkIndex)?.committedVersion ?? 0) >= forget.recordVersion;
}

/** Drops the pending forgets whose attempts the heartbeat does not list as exited: the worker has executed them. */
export function dropCompletedForgets(commands: CommandState, heartbeat: Heartbeat): void {
  const pending = commands.pendingForgets.get(heartbeat.machineName);
  if (pending === undefined) return;
  const exited = new Set(
    heartbeat.tasks
      .filter((task) => task.state === 'exited')
      .map((task) => attemptKey(task.jobId, task.taskIndex, task.attempt)),
  );
  for (const [task, forget] of pending)
    if (!exited.has(attemptKey(forget.jobId, forget.taskIndex, forget.attempt))) pending.delete(task);
}

/** Drops all pending forgets of a machine, because its worker no longer stores any of the attempts. */
export function dropForgets(commands: CommandState, machineName: string): void {
  commands.pendingForgets.delete(machineName);
}
