/**
 * @file Decides when workers may forget exited tasks: once their results are committed and no start command for them
 * can still arrive. This module owns the pending forgets: the handling of exits queues them, and they are selected for
 * sending and dropped here.
 */
import { attemptKey, taskKey } from '../model/assignment.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { PendingForget } from '../model/worker-command.js';
import { chunkIndexOf } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type CommandState, attemptMayStillStart } from '../state/command-state.js';
import { getOrCreateMap } from '../state/maps.js';

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

/** Returns the pending forgets of the exited tasks that the machine's worker may forget now. */
export function allowedForgets(state: ClusterState, machine: Machine): PendingForget[] {
  const allowed: PendingForget[] = [];
  for (const forget of state.commands.pendingForgets.get(machine.name)?.values() ?? [])
    if (mayForget(state, machine, forget)) allowed.push(forget);
  return allowed;
}

function mayForget(state: ClusterState, machine: Machine, forget: PendingForget): boolean {
  const key = attemptKey(forget.jobId, forget.taskIndex, forget.attempt);
  // A worker that has forgotten an attempt would start it again if a delayed start command arrived.
  if (attemptMayStillStart(state.commands, machine.name, key)) return false;
  if (!machine.hasShownTermToken) return false;
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
