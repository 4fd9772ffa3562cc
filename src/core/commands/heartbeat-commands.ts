/**
 * @file The commands in the answer to a heartbeat, and whether a heartbeat gets any: the answer also renews the
 * worker's lease, so that it is decided here from when the lease is counted.
 */
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { allowedForgets } from './forgets.js';
import { isStartable } from './start-conditions.js';
import { forgetCommand, startCommand, stopCommand } from './worker-commands.js';

/** Answered heartbeats that are remembered per machine: duplicates arrive late, but seldom after so many others. */
const MAX_ANSWERED_SEQUENCES = 64;

/**
 * The commands for the answer to a heartbeat. A delayed heartbeat gets none: its worker has gone on, and commands for
 * it would fit an older list of tasks. Its answer may still renew the lease, since a heartbeat can be overtaken by the
 * answer to a direct command; only the same heartbeat again is surely a duplicate, whose answer reaches nobody.
 */
export function commandsForHeartbeat(
  state: ClusterState,
  heartbeat: Heartbeat,
  now: Timestamp,
): WorkerCommand[] {
  const machine = state.machines.byName.get(heartbeat.machineName);
  if (machine === undefined) return [];
  if (heartbeat.agentEpoch === machine.agentEpoch && !recordAnsweredHeartbeat(machine, heartbeat.sequence))
    return [];
  machine.lastAcknowledgedAt = now.monotonic;
  if (heartbeat.agentEpoch !== machine.agentEpoch || heartbeat.sequence !== machine.sequence) return [];
  const commands: WorkerCommand[] = [];
  for (const assignment of machine.assignments.values()) {
    const command = commandForAssignment(state, machine, assignment, now.monotonic);
    if (command !== null) commands.push(command);
  }
  commands.push(...stopsForOrphanedTasks(state, machine));
  for (const forget of allowedForgets(state, machine)) commands.push(forgetCommand(forget));
  return commands;
}

/** Records that a heartbeat of the current epoch is answered. False: it is a duplicate of one answered before. */
function recordAnsweredHeartbeat(machine: Machine, sequence: number): boolean {
  const answered = machine.answeredSequences;
  if (answered.includes(sequence)) return false;
  // A worker sends one heartbeat at a time: one that is older than all of these is no original either.
  if (answered.length === MAX_ANSWERED_SEQUENCES && sequence < (answered[0] ?? 0)) return false;
  answered.push(sequence);
  if (answered.length > MAX_ANSWERED_SEQUENCES) answered.shift();
  return true;
}

function commandForAssignment(
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): WorkerCommand | null {
  const reported = machine.reportedTasks.get(taskKey(assignment.jobId, assignment.taskIndex));
  const isReported = reported !== undefined && reported.attempt === assignment.attempt;
  if (assignment.stopRequest !== null)
    return isReported ? stopCommand(assignment, remainingGracePeriodS(state, assignment, now)) : null;
  if (isReported || !isStartable(state, machine, assignment, now)) return null;
  assignment.startSentInSequence = machine.sequence;
  assignment.startSentAt ??= now;
  return startCommand(assignment);
}

/** A task that does not exit after it was stopped with a grace period is stopped without one after twice that period. */
function remainingGracePeriodS(state: ClusterState, assignment: Assignment, now: MonotonicTime): number {
  const { stopRequest } = assignment;
  if (stopRequest === null || stopRequest.gracePeriodS === 0) return 0;
  const allowed =
    seconds(stopRequest.gracePeriodS * 2) +
    state.config.gangPeerTimeout +
    state.config.heartbeatInterval * 2n;
  return now - stopRequest.requestedAt > allowed ? 0 : stopRequest.gracePeriodS;
}

/** Stops tasks on the machine without an assignment: they were proven gone once, so that whatever runs must not. */
function stopsForOrphanedTasks(state: ClusterState, machine: Machine): WorkerCommand[] {
  const stops: WorkerCommand[] = [];
  if (!machine.fenced) return stops;
  for (const [key, task] of machine.reportedTasks) {
    if (machine.assignments.get(key)?.attempt === task.attempt) continue;
    emitLog(
      state,
      'stopping task without assignment',
      { machine: machine.name, task: key, attempt: task.attempt },
      'info',
    );
    stops.push(stopCommand(task, 0));
  }
  return stops;
}
