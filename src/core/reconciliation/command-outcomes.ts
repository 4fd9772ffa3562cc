/** @file Handles the outcomes of commands that were sent directly to workers. */
import { recordCallOutcome } from '../commands/command-log.js';
import type { CommandsAnswered } from '../model/events.js';
import type { Machine } from '../model/machine.js';
import type { Timestamp } from '../model/time.js';
import type { WorkerCommand } from '../model/worker-command.js';
import { retryTokenProbe } from '../reconciliation/fencing.js';
import { applyHeartbeat } from '../reconciliation/heartbeat-intake.js';
import { markReachable } from '../reconciliation/reachability.js';
import type { ClusterState } from '../state/cluster-state.js';
import { trackDirectStart, trackStartAnswered, trackUnresolvedStart } from '../commands/start-tracking.js';

/**
 * Records the outcome of direct commands, and applies the heartbeat in the response if the worker itself answered.
 */
export function onCommandsAnswered(state: ClusterState, answer: CommandsAnswered, now: Timestamp): void {
  const machine = state.machines.byName.get(answer.machineName);
  recordCallOutcome(state, answer);
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
  const { machineName, agentEpoch, fencingToken, outcome } = answer;
  trackStartAnswered(state.commands, machineName, command);
  if (outcome === 'refused' || machine === undefined) return;
  // The worker would refuse a copy because of a newer agent epoch or a higher fencing token.
  if (machine.agentEpoch !== agentEpoch || machine.fencingToken > fencingToken) return;
  trackDirectStart(state.commands, machineName, command, fencingToken);
  if (outcome === 'unknown') trackUnresolvedStart(state.commands, machineName, command, fencingToken);
}
