/**
 * @file Detects tasks that run on a machine although they had exited there: a worker has carried out a copy of their
 * start. Nothing should bring that about (docs/safety.md, point 4), so it is logged and counted.
 */
import { attemptKey, taskKey } from '../model/assignment.js';
import type { ReportedTask } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { CommandState } from '../state/command-state.js';
import { recordRepeatedStart } from './command-log.js';

/** How many of the attempts that it has forgotten are remembered of each worker. */
const MAX_FORGOTTEN_ATTEMPTS = 8;

/** Remembers an attempt that a worker has forgotten; `key` is its `attemptKey`. */
export function rememberForgotten(commands: CommandState, machineName: string, key: string): void {
  const forgotten = commands.forgottenAttempts.get(machineName) ?? [];
  forgotten.push(key);
  if (forgotten.length > MAX_FORGOTTEN_ATTEMPTS) forgotten.shift();
  commands.forgottenAttempts.set(machineName, forgotten);
}

/**
 * Records a task that runs on a machine without an assignment if it had exited there: a copy of its start was carried
 * out again. An attempt is recorded once.
 */
export function detectRepeatedStart(state: ClusterState, machine: Machine, task: ReportedTask): void {
  const pending = state.commands.pendingForgets.get(machine.name);
  const forgotten = state.commands.forgottenAttempts.get(machine.name) ?? [];
  const key = taskKey(task.jobId, task.taskIndex);
  const index = forgotten.indexOf(attemptKey(task.jobId, task.taskIndex, task.attempt));
  if (index < 0 && pending?.get(key)?.attempt !== task.attempt) return;
  if (index >= 0) forgotten.splice(index, 1);
  pending?.delete(key);
  recordRepeatedStart(state, machine, task);
}
