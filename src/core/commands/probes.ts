/**
 * @file Probes: direct calls without commands. The response carries the worker's heartbeat, and the worker adopts the
 * term's fencing token.
 */
import type { Machine } from '../model/machine.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Requests a probe of a machine. */
export function requestProbe(state: ClusterState, machine: Machine, agentEpoch = machine.agentEpoch): void {
  state.effects.push({ kind: 'send-commands', machineName: machine.name, agentEpoch, commands: [] });
}
