/** @file Making sure that machines obey this term alone. */
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';
import { attemptKey } from '../model/assignment.js';
import { startNeverSent } from '../assignments/assignments.js';
import type { Machine } from '../model/machine.js';
import { taskKey } from '../model/assignment.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { type Timestamp, seconds } from '../model/time.js';

/** Machines asked in one go: after a takeover of a large fleet all of them would otherwise be called at once. */
const FENCE_AT_ONCE = 50;

/** While workers are still finding their way to us, or the process is behind, only so many are called. */
const FENCE_BUSY = 1;

/** With no machine arriving for so long, those that have not are not on their way by themselves. */
const FENCE_QUIET = seconds(1);

/**
 * How long a machine that reports to us has to show this term's token by itself: a higher token makes it report again
 * half a second later.
 */
const SHOWS_TOKEN = seconds(1.5);

/**
 * Asks machines that have not shown this term's token to take it: it is raised before anything else is done. A machine
 * whose reports come shows it by itself in the one after the first that is answered, so it is asked only when it does
 * not; a direct call costs several times as much as a report. Those with work to do are asked first.
 */
export function fenceMachines(state: ClusterState, now: Timestamp): void {
  const asked: Machine[] = [];
  for (const machine of state.machines.byName.values()) {
    if (
      machine.fenced ||
      machine.endpoint === '' ||
      machine.instanceState === 'booting' ||
      machine.instanceState === 'failed'
    )
      continue;
    if (machine.probedAt !== null && now.monotonic - machine.probedAt < seconds(2)) continue;
    if (machine.firstHeartbeatAt !== null && now.monotonic - machine.firstHeartbeatAt < SHOWS_TOKEN) continue;
    asked.push(machine);
  }
  const coming = now.monotonic - state.term.lastWorkerJoinedAt < FENCE_QUIET;
  const most = coming || isOverloaded(state.term) ? FENCE_BUSY : FENCE_AT_ONCE;
  if (asked.length > most) asked.sort((a, b) => b.assignments.size - a.assignments.size);
  for (const machine of asked.slice(0, most)) {
    machine.probedAt = now.monotonic;
    state.effects.push({
      kind: 'send-commands',
      machineName: machine.name,
      agentEpoch: Math.max(machine.agentEpoch, 1),
      commands: [],
    });
  }
}

/** Whether some copy of a `run` blocks progress and only a higher token can settle that it never comes. */
export function tokenAdvanceReason(state: ClusterState, now: Timestamp): string | null {
  if (
    now.monotonic - state.term.tokenAdvancedAt < state.config.workerLease / 2n ||
    !mayStartTasks(state.term.confirmedAt, now.monotonic)
  )
    return null;
  for (const [name, loose] of state.commands.unresolvedStarts) {
    const machine = state.machines.byName.get(name);
    if (
      machine === undefined ||
      loose.size === 0 ||
      now.monotonic - machine.lastHeartbeatAt > state.config.heartbeatInterval * 3n
    )
      continue;
    for (const forget of state.commands.pendingForgets.get(name)?.values() ?? [])
      if (loose.has(attemptKey(forget.jobId, forget.taskIndex, forget.attempt)))
        return `a result on ${name} cannot be forgotten`;
    for (const assignment of machine.assignments.values())
      if (
        assignment.stopRequest !== null &&
        !machine.reportedTasks.has(taskKey(assignment.jobId, assignment.taskIndex)) &&
        !startNeverSent(state, assignment)
      )
        return `a stop on ${name} cannot be proven`;
  }
  return null;
}
