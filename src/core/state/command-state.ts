/** @file Start commands that may still arrive, and exited tasks that workers must not forget yet. */
import type { Assignment } from '../model/assignment.js';
import { attemptKey } from '../model/assignment.js';
import type { MonotonicTime } from '../model/time.js';
import type { PendingForget } from '../model/worker-command.js';

/** Counts since the beginning of the term. */
interface CommandCounters {
  /** Direct calls with commands that their worker refused. */
  refusedCalls: number;
  /** Tasks that a worker has started again after they had exited. */
  repeatedStarts: number;
}

/** Commands to workers. The keys of each map are machine names, those of the inner maps tasks or attempts. */
export interface CommandState {
  /** Exited tasks that a worker may forget once their results are committed, by task key. */
  readonly pendingForgets: Map<string, Map<string, PendingForget>>;
  /** Fencing tokens of start commands that have an unknown outcome and may still arrive, by attempt key. */
  readonly unresolvedStarts: Map<string, Map<string, number>>;
  /**
   * Highest fencing token of the direct starts of an attempt that a worker would execute again if a copy arrived once it
   * has forgotten the attempt, by attempt key. Whether a start was answered makes no difference.
   */
  readonly directStartTokens: Map<string, Map<string, number>>;
  /** Number of start commands sent directly to a worker that have no response yet, by attempt key. */
  readonly startsInFlight: Map<string, Map<string, number>>;
  /**
   * Machines with a task that is to be stopped and whose absence is not proven, by name, with the time from which a
   * direct call can prove it.
   */
  readonly absenceProbesDue: Map<string, MonotonicTime>;
  /** The last attempts that each worker has forgotten, by attempt key. */
  readonly forgottenAttempts: Map<string, string[]>;
  readonly counters: CommandCounters;
}

/** Returns a state without commands. */
export const newCommandState = (): CommandState => ({
  pendingForgets: new Map(),
  unresolvedStarts: new Map(),
  directStartTokens: new Map(),
  startsInFlight: new Map(),
  absenceProbesDue: new Map(),
  forgottenAttempts: new Map(),
  counters: { refusedCalls: 0, repeatedStarts: 0 },
});

/** Whether a direct start of the assignment is in flight, or may still be executed for the first time. */
export function startMayStillArrive(commands: CommandState, assignment: Assignment): boolean {
  const { machineName } = assignment;
  const key = attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt);
  return (
    commands.unresolvedStarts.get(machineName)?.has(key) === true ||
    isStartInFlight(commands, machineName, key)
  );
}

/** Whether a direct start of an attempt has no outcome yet; `key` is its `attemptKey`. */
export const isStartInFlight = (commands: CommandState, machineName: string, key: string): boolean =>
  (commands.startsInFlight.get(machineName)?.get(key) ?? 0) > 0;

/** Whether any direct start to the machine has no outcome yet. */
export const hasStartInFlight = (commands: CommandState, machineName: string): boolean =>
  (commands.startsInFlight.get(machineName)?.size ?? 0) > 0;
