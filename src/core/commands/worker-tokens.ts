/**
 * @file The fencing token of commands to each worker: the term's, or a higher one that is shown to this worker alone so
 * that it refuses every copy of the starts that were sent to it before. docs/safety.md proves that it may be used ("A
 * higher token for one worker").
 */
import { attemptKey } from '../model/assignment.js';
import type { Machine } from '../model/machine.js';
import type { PendingForget } from '../model/worker-command.js';
import type { ClusterState } from '../state/cluster-state.js';
import { hasStartInFlight } from '../state/command-state.js';
import { emitLog } from '../state/log-effects.js';

/**
 * With this many forgets to send, the token is raised even while a start is on its way. A heartbeat ends at 64 KiB, which
 * is several hundred exited attempts, and a start that is refused is sent again in the next response.
 */
const MAX_FORGETS_BEHIND_STARTS = 100;

/** Returns the fencing token of commands to a machine's worker. */
export const fencingTokenFor = (state: ClusterState, machineName: string): number =>
  Math.max(state.term.fencingToken, state.machines.byName.get(machineName)?.raisedToken ?? 0);

/** Returns the highest token of the direct starts of an attempt whose copies its worker may execute, or null. */
export const directStartTokenOf = (
  state: ClusterState,
  machineName: string,
  { jobId, taskIndex, attempt }: PendingForget,
): number | null =>
  state.commands.directStartTokens.get(machineName)?.get(attemptKey(jobId, taskIndex, attempt)) ?? null;

/** True if the worker refuses every copy of the direct starts of an attempt once it has the machine's present token. */
export function areDirectStartsFenced(
  state: ClusterState,
  machineName: string,
  forget: PendingForget,
): boolean {
  const startToken = directStartTokenOf(state, machineName, forget);
  return startToken === null || startToken < fencingTokenFor(state, machineName);
}

/**
 * Raises the token of a machine's worker if one of the attempts that it is to forget was started directly under the
 * present one. A start on its way to the worker would be refused for its older token, so the token is normally not raised
 * then.
 */
export function raiseTokenFor(
  state: ClusterState,
  machine: Machine,
  forgets: readonly PendingForget[],
): void {
  const { confirmedRevision } = state.term;
  if (confirmedRevision <= fencingTokenFor(state, machine.name)) return;
  if (hasStartInFlight(state.commands, machine.name) && forgets.length < MAX_FORGETS_BEHIND_STARTS) return;
  if (forgets.every((forget) => areDirectStartsFenced(state, machine.name, forget))) return;
  machine.raisedToken = confirmedRevision;
  emitLog(state, 'worker token raised', { machine: machine.name, fencingToken: confirmedRevision });
}
