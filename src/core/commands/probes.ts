/** @file Direct calls without commands. Their answers carry the worker's heartbeat, and it takes the term's token. */
import type { Machine } from '../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Has a machine called directly without a command. */
export function requestProbe(state: ClusterState, machine: Machine, agentEpoch = machine.agentEpoch): void {
  state.effects.push({ kind: 'send-commands', machineName: machine.name, agentEpoch, commands: [] });
}
