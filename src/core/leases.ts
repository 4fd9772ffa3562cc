/** @file When a silent worker's lease, and with it every task it held, is surely over. */
import { type ClusterState, emitLog, withDrift } from './cluster-state.js';
import { endIntent } from './intents.js';
import type { Machine } from './model.js';
import { type Now, type Steady, seconds } from './time.js';

/** From when on the lease of a silent worker is surely over, and with it every task it held. */
export function leaseEnd(state: ClusterState, machine: Machine): Steady {
  // Until the worker has shown this term's token, an earlier owner may have answered it after we last did.
  const answered =
    machine.fenced || machine.answered > state.othersQuiet ? machine.answered : state.othersQuiet;
  return answered + withDrift(state.facts.lease) + seconds(0.5);
}

/** Ends the places on machines whose lease is surely over. */
export function reapSilent(state: ClusterState, now: Now): void {
  for (const machine of state.machines.values()) {
    if (machine.intents.size === 0 || now.steady < leaseEnd(state, machine)) continue;
    let over = machine.session;
    for (const intent of machine.intents.values()) over = Math.max(over, intent.session);
    machine.deadSession = Math.max(machine.deadSession, over);
    emitLog(
      state,
      'lease over: its tasks are gone',
      { machine: machine.name, session: over, tasks: machine.intents.size },
      'info',
    );
    for (const intent of [...machine.intents.values()])
      endIntent(state, intent, false, 'lease over', now.steady);
    machine.seen.clear();
    machine.strays = false;
    machine.view = null;
  }
}
