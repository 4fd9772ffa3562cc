/** @file Start commands that may still arrive, and exited tasks that workers must not forget yet. */
import type { Assignment } from '../model/assignment.js';
import { attemptKey } from '../model/assignment.js';
import type { MonotonicTime } from '../model/time.js';
import type { PendingForget } from '../model/worker-command.js';

/** Commands to workers. The keys of each map are machine names, those of the inner maps tasks or attempts. */
export interface CommandState {
  /** Exited tasks that a worker may forget once their results are committed, by task key. */
  readonly pendingForgets: Map<string, Map<string, PendingForget>>;
  /** Fencing tokens of start commands that have an unknown outcome and may still arrive, by attempt key. */
  readonly unresolvedStarts: Map<string, Map<string, number>>;
  /** Number of start commands sent directly to a worker that have no response yet, by attempt key. */
  readonly startsInFlight: Map<string, Map<string, number>>;
  /**
   * Machines with a task that is to be stopped and whose absence is not proven, by name, with the time from which a
   * direct call can prove it.
   */
  readonly absenceProbesDue: Map<string, MonotonicTime>;
}

/** Returns a state without commands. */
export const newCommandState = (): CommandState => ({
  pendingForgets: new Map(),
  unresolvedStarts: new Map(),
  startsInFlight: new Map(),
  absenceProbesDue: new Map(),
});

/** Whether a start command of the assignment may still reach its machine. */
export function startMayStillArrive(commands: CommandState, assignment: Assignment): boolean {
  const key = attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt);
  return attemptMayStillStart(commands, assignment.machineName, key);
}

/** Whether a start command for an attempt may still reach the machine; `key` is its `attemptKey`. */
export function attemptMayStillStart(commands: CommandState, machineName: string, key: string): boolean {
  return (
    commands.unresolvedStarts.get(machineName)?.has(key) === true ||
    (commands.startsInFlight.get(machineName)?.get(key) ?? 0) > 0
  );
}
