/** @file Commands whose outcome is not known yet, and results that workers may not forget yet. */
import type { Assignment } from '../model/assignment.js';
import { attemptKey } from '../model/assignment.js';
import type { PendingForget } from '../model/worker-command.js';

/** Commands to workers. Each map is by machine name, then by task or attempt. */
export interface CommandState {
  /** Exited tasks that a worker may forget once their result is committed, by task key. */
  readonly pendingForgets: Map<string, Map<string, PendingForget>>;
  /** Start commands of unknown outcome that may still arrive, by attempt key, with the fencing token they carry. */
  readonly unresolvedStarts: Map<string, Map<string, number>>;
  /** How many start commands sent directly to a worker have no answer yet, by attempt key. */
  readonly startsInFlight: Map<string, Map<string, number>>;
}

/** No commands yet. */
export const newCommandState = (): CommandState => ({
  pendingForgets: new Map(),
  unresolvedStarts: new Map(),
  startsInFlight: new Map(),
});

/** Whether a start command of the assignment may still reach its machine. */
export function startMayStillArrive(commands: CommandState, assignment: Assignment): boolean {
  const key = attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt);
  return attemptMayStillStart(commands, assignment.machineName, key);
}

/** Whether a start command for an attempt, named by `attemptKey`, may still reach the machine. */
export function attemptMayStillStart(commands: CommandState, machineName: string, key: string): boolean {
  return (
    commands.unresolvedStarts.get(machineName)?.has(key) === true ||
    (commands.startsInFlight.get(machineName)?.get(key) ?? 0) > 0
  );
}
