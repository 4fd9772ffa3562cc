/** @file Handles the outcomes of commands that were sent directly to workers. */
import type { CommandsAnswered } from '../model/events.js';
import type { Machine } from '../model/machine.js';
import type { Timestamp } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import { retryTokenProbe } from '../reconciliation/fencing.js';
import { applyHeartbeat } from '../reconciliation/heartbeat-intake.js';
import { markReachable } from '../reconciliation/reachability.js';
import type { ClusterState } from '../state/cluster-state.js';
import { trackStartAnswered, trackUnresolvedStart } from '../commands/start-tracking.js';

/**
 * Records the outcome of direct commands, and applies the heartbeat in the response if the worker itself answered.
 */
export function onCommandsAnswered(state: ClusterState, answer: CommandsAnswered, now: Timestamp): void {
  const machine = state.machines.byName.get(answer.machineName);
  if (answer.outcome !== 'unknown' && answer.heartbeat !== null && machine !== undefined)
    markReachable(state, machine);
  for (const command of answer.commands)
    if (command.op === 'start') recordStartOutcome(state, machine, answer, command);
  if (answer.heartbeat === null) return;
  applyHeartbeat(state, answer.heartbeat, { kind: 'direct-call', calledAt: answer.calledAt }, now);
  if (answer.outcome === 'refused') retryTokenProbe(state, answer.machineName);
}

function recordStartOutcome(
  state: ClusterState,
  machine: Machine | undefined,
  answer: CommandsAnswered,
  command: WorkerCommand,
): void {
  trackStartAnswered(state.commands, answer.machineName, command);
  // The command may still arrive, unless the worker would refuse it because of a newer agent epoch or a higher fencing
  // token.
  if (
    answer.outcome === 'unknown' &&
    machine !== undefined &&
    machine.agentEpoch === answer.agentEpoch &&
    machine.fencingToken <= answer.fencingToken
  )
    trackUnresolvedStart(state.commands, answer.machineName, command, answer.fencingToken);
}
