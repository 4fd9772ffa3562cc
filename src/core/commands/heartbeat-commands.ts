/**
 * @file Decides whether the response to a heartbeat carries commands, and which. The response also renews the worker's
 * lease, so this module also decides from when the lease is counted.
 */
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { type CommandGrounds, logCommandSent } from './command-log.js';
import { forgetsToSend } from './forgets.js';
import { isStartable } from './start-conditions.js';
import { directStartTokenOf, fencingTokenFor } from './worker-tokens.js';
import { forgetCommand, startCommand, stopCommand } from './worker-commands.js';

/**
 * Upper bound on the answered heartbeats recorded per machine: duplicates arrive late, but seldom after this many
 * others.
 */
const MAX_ANSWERED_SEQUENCES = 64;

/** A command, and what allows it. */
interface PermittedCommand {
  readonly command: WorkerCommand;
  readonly grounds: CommandGrounds;
}

/**
 * Returns the commands for the response to a heartbeat. A delayed heartbeat gets none, because its worker has moved on
 * and the commands would match an outdated task list. Its response may still renew the lease, because a heartbeat can
 * be overtaken by the response to a direct command. Only the same heartbeat again is surely a duplicate, and the
 * response to a duplicate reaches nobody.
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
  const permitted = permittedCommands(state, machine, now.monotonic);
  for (const { command, grounds } of permitted)
    logCommandSent(state, machine, command, 'response', grounds, now.monotonic);
  return permitted.map(({ command }) => command);
}

function permittedCommands(state: ClusterState, machine: Machine, now: MonotonicTime): PermittedCommand[] {
  const permitted: PermittedCommand[] = [];
  // First, because it may raise the worker's fencing token.
  const forgets = forgetsToSend(state, machine);
  for (const assignment of machine.assignments.values()) {
    const command = commandForAssignment(state, machine, assignment, now);
    if (command !== null) permitted.push(command);
  }
  permitted.push(...stopsForOrphanedTasks(state, machine));
  for (const forget of forgets)
    permitted.push({
      command: forgetCommand(forget),
      grounds: { directStartToken: directStartTokenOf(state, machine.name, forget) },
    });
  return permitted;
}

/**
 * Records that a heartbeat of the current agent epoch is answered. Returns false if it is a duplicate of an answered
 * one.
 */
function recordAnsweredHeartbeat(machine: Machine, sequence: number): boolean {
  const answered = machine.answeredSequences;
  if (answered.includes(sequence)) return false;
  // A worker sends one heartbeat at a time, so a heartbeat that is older than all of these is a duplicate too.
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
): PermittedCommand | null {
  const reported = machine.reportedTasks.get(taskKey(assignment.jobId, assignment.taskIndex));
  const isReported = reported !== undefined && reported.attempt === assignment.attempt;
  if (assignment.stopRequest !== null) {
    if (!isReported) return null;
    const gracePeriodS = remainingGracePeriodS(state, assignment, now);
    const { reason } = assignment.stopRequest;
    return { command: stopCommand(assignment, gracePeriodS), grounds: { gracePeriodS, reason } };
  }
  if (isReported || !isStartable(state, machine, assignment, now)) return null;
  assignment.startDelivery = {
    kind: 'response',
    sequence: machine.sequence,
    fencingToken: fencingTokenFor(state, machine.name),
    sentAt: now,
  };
  assignment.startSentAt ??= now;
  return { command: startCommand(assignment), grounds: { recordVersion: assignment.recordVersion } };
}

/**
 * Returns the grace period, in seconds, of a stop command that is sent now. A task that does not exit after a stop with
 * a grace period is stopped without one after twice that period and a margin.
 */
function remainingGracePeriodS(state: ClusterState, assignment: Assignment, now: MonotonicTime): number {
  const { stopRequest } = assignment;
  if (stopRequest === null || stopRequest.gracePeriodS === 0) return 0;
  const allowed =
    seconds(stopRequest.gracePeriodS * 2) +
    state.config.gangPeerTimeout +
    state.config.heartbeatInterval * 2n;
  return now - stopRequest.requestedAt > allowed ? 0 : stopRequest.gracePeriodS;
}

/**
 * Returns stop commands for tasks on the machine that have no assignment. They were proven gone before, so any that
 * still run must be stopped.
 */
function stopsForOrphanedTasks(state: ClusterState, machine: Machine): PermittedCommand[] {
  const stops: PermittedCommand[] = [];
  if (!machine.hasShownTermToken) return stops;
  for (const [key, task] of machine.reportedTasks) {
    if (machine.assignments.get(key)?.attempt === task.attempt) continue;
    emitLog(
      state,
      'stopping task without assignment',
      { machine: machine.name, task: key, attempt: task.attempt },
      'info',
    );
    stops.push({ command: stopCommand(task, 0), grounds: { reason: 'no assignment' } });
  }
  return stops;
}
