/**
 * @file Decides when workers may forget exited tasks: once their results are committed, and with a fencing token under
 * which no copy of a start command for them is executed. This module owns the pending forgets: the handling of exits
 * queues them, and they are selected for sending and dropped here.
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
import { rememberForgotten } from './repeated-starts.js';
import { areDirectStartsFenced, raiseTokenFor } from './worker-tokens.js';

/** What a forget waits for. */
type ForgetWait =
  'token not shown' | 'start in flight' | 'result not committed' | 'higher token' | 'next heartbeat';

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
  if (pending === undefined || pending.size === 0) return [];
  const forgets = [...pending.values()].filter((forget) => waitReason(state, machine, forget) === null);
  raiseTokenFor(state, machine, forgets);
  return forgets.filter((forget) => areDirectStartsFenced(state, machine.name, forget));
}

/** Returns what a forget waits for, whatever the token of the response, or null if it waits for nothing. */
function waitReason(state: ClusterState, machine: Machine, forget: PendingForget): ForgetWait | null {
  if (!machine.hasShownTermToken) return 'token not shown';
  const key = attemptKey(forget.jobId, forget.taskIndex, forget.attempt);
  if (isStartInFlight(state.commands, machine.name, key)) return 'start in flight';
  return isResultCommitted(state, forget) ? null : 'result not committed';
}

function isResultCommitted(state: ClusterState, forget: PendingForget): boolean {
  const job = state.jobs.byId.get(forget.jobId);
  // A finished job needs no more results.
  if (job === undefined || forget.chunkIndex === null || job.status !== 'open') return true;
  return (job.chunks.get(forget.chunkIndex)?.committedVersion ?? 0) >= forget.recordVersion;
}

/** Counts the pending forgets of all machines by what they wait for. */
export function countWaitingForgets(state: ClusterState): ReadonlyMap<ForgetWait, number> {
  const counts = new Map<ForgetWait, number>();
  for (const [machineName, pending] of state.commands.pendingForgets) {
    const machine = state.machines.byName.get(machineName);
    if (machine === undefined) continue;
    for (const forget of pending.values()) {
      const isFenced = areDirectStartsFenced(state, machineName, forget);
      const wait = waitReason(state, machine, forget) ?? (isFenced ? 'next heartbeat' : 'higher token');
      counts.set(wait, (counts.get(wait) ?? 0) + 1);
    }
  }
  return counts;
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
  for (const [task, forget] of pending) {
    const key = attemptKey(forget.jobId, forget.taskIndex, forget.attempt);
    if (exited.has(key)) continue;
    pending.delete(task);
    rememberForgotten(commands, heartbeat.machineName, key);
  }
}

/** Drops all forgets of a machine, because its worker no longer stores any of the attempts. */
export function dropForgets(commands: CommandState, machineName: string): void {
  commands.pendingForgets.delete(machineName);
  commands.forgottenAttempts.delete(machineName);
}
