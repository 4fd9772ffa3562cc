/**
 * @file Log lines and counters of commands to workers: which command was sent under which token and why it was allowed,
 * what the worker answered, and starts that a worker carried out again. They change nothing else.
 */
import { attemptKey } from '../model/assignment.js';
import type { LogFields } from '../model/effects.js';
import type { CommandsAnswered } from '../model/events.js';
import type { ReportedTask } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, toSeconds } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { fencingTokenFor } from './worker-tokens.js';

/** How a command is sent to its worker. */
type CommandDelivery = 'direct' | 'response';

/** What allows a command: names and values for the log line. */
export type CommandGrounds = LogFields;

const nameOf = ({
  jobId,
  taskIndex,
  attempt,
}: Pick<WorkerCommand, 'jobId' | 'taskIndex' | 'attempt'>): string => attemptKey(jobId, taskIndex, attempt);

/** Logs that a command is sent, and what allows it. */
export function logCommandSent(
  state: ClusterState,
  machine: Machine,
  command: WorkerCommand,
  delivery: CommandDelivery,
  grounds: CommandGrounds,
  now: MonotonicTime,
): void {
  emitLog(state, 'command sent', {
    op: command.op,
    attempt: nameOf(command),
    machine: machine.name,
    agentEpoch: machine.agentEpoch,
    fencingToken: fencingTokenFor(state, machine.name),
    delivery,
    confirmedAgeS: toSeconds(now - state.term.confirmedAt),
    ...grounds,
  });
}

/** Logs the outcome of a direct call with commands, and counts it if the worker refused it. */
export function recordCallOutcome(state: ClusterState, answer: CommandsAnswered): void {
  if (answer.commands.length === 0) return;
  const refusedByWorker = answer.outcome === 'refused' && answer.heartbeat !== null;
  if (refusedByWorker) state.commands.counters.refusedCalls += 1;
  emitLog(state, 'commands answered', {
    machine: answer.machineName,
    agentEpoch: answer.agentEpoch,
    fencingToken: answer.fencingToken,
    outcome: answer.outcome,
    commands: answer.commands.map((command) => `${command.op} ${nameOf(command)}`),
    shownToken: answer.heartbeat?.fencingToken ?? null,
  });
}

/** Logs and counts a task that the worker has started again after it exited or was forgotten. */
export function recordRepeatedStart(state: ClusterState, machine: Machine, task: ReportedTask): void {
  state.commands.counters.repeatedStarts += 1;
  emitLog(
    state,
    'start carried out again',
    {
      attempt: nameOf(task),
      machine: machine.name,
      agentEpoch: machine.agentEpoch,
      fencingToken: machine.fencingToken,
    },
    'info',
  );
}
