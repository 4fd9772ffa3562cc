/**
 * @file Tracks start commands that were sent directly: commands in flight, commands of unknown outcome that may still
 * arrive, and the tokens of all that a worker may execute once more. Only this module changes these maps.
 */
import { type Assignment, attemptKey } from '../model/assignment.js';
import type { Machine } from '../model/machine.js';
import type { WorkerCommand } from '../model/worker-command.js';
import type { CommandState } from '../state/command-state.js';
import { getOrCreateMap } from '../state/maps.js';

/** Records that a start command for the assignment is sent. */
export function trackStartSent(commands: CommandState, assignment: Assignment): void {
  const inFlight = getOrCreateMap(commands.startsInFlight, assignment.machineName);
  const key = attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt);
  inFlight.set(key, (inFlight.get(key) ?? 0) + 1);
}

/** Records that a start command is no longer in flight. */
export function trackStartAnswered(
  commands: CommandState,
  machineName: string,
  { jobId, taskIndex, attempt }: WorkerCommand,
): void {
  const inFlight = getOrCreateMap(commands.startsInFlight, machineName);
  const key = attemptKey(jobId, taskIndex, attempt);
  const remaining = (inFlight.get(key) ?? 1) - 1;
  if (remaining > 0) inFlight.set(key, remaining);
  else inFlight.delete(key);
}

/** Records that a worker may execute copies of a direct start with the given fencing token, answered or not. */
export function trackDirectStart(
  commands: CommandState,
  machineName: string,
  { jobId, taskIndex, attempt }: WorkerCommand,
  fencingToken: number,
): void {
  const tokens = getOrCreateMap(commands.directStartTokens, machineName);
  const key = attemptKey(jobId, taskIndex, attempt);
  tokens.set(key, Math.max(fencingToken, tokens.get(key) ?? 0));
}

/** Records that a start command with the given fencing token may still arrive. */
export function trackUnresolvedStart(
  commands: CommandState,
  machineName: string,
  { jobId, taskIndex, attempt }: WorkerCommand,
  fencingToken: number,
): void {
  getOrCreateMap(commands.unresolvedStarts, machineName).set(
    attemptKey(jobId, taskIndex, attempt),
    fencingToken,
  );
}

/** Drops direct starts with a lower fencing token than the worker has shown, because it will refuse them. */
export function dropFencedStarts(commands: CommandState, machine: Machine): void {
  dropLowerTokens(commands.unresolvedStarts, machine);
  dropLowerTokens(commands.directStartTokens, machine);
}

function dropLowerTokens(tokensByMachine: Map<string, Map<string, number>>, machine: Machine): void {
  const tokens = tokensByMachine.get(machine.name);
  if (tokens === undefined) return;
  for (const [attempt, fencingToken] of tokens)
    if (machine.fencingToken > fencingToken) tokens.delete(attempt);
  if (tokens.size === 0) tokensByMachine.delete(machine.name);
}

/**
 * Drops direct starts for an agent epoch that has ended, because the worker will refuse them. Commands in flight are
 * kept, because their outcome is still to be reported.
 */
export function dropStartsOfEndedEpoch(commands: CommandState, machineName: string): void {
  commands.unresolvedStarts.delete(machineName);
  commands.directStartTokens.delete(machineName);
}

/** Drops all tracked start commands to a machine that is removed. */
export function dropStarts(commands: CommandState, machineName: string): void {
  dropStartsOfEndedEpoch(commands, machineName);
  commands.startsInFlight.delete(machineName);
}
