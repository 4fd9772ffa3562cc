/** @file The cloud's word on machines: the list, and what was returned. */
import { type ClusterState, emitLog } from './cluster-state.js';
import { endIntent } from './intents.js';
import { machineOf } from './machine-registry.js';
import { leaseEnd } from './leases.js';
import type { Listed, Machine } from './model.js';
import { type Now, type Steady, seconds } from './time.js';

/** Takes in a whole list of the cloud's. */
export function onList(state: ClusterState, list: readonly Listed[], sent: Steady, now: Now): void {
  const names = new Set<string>();
  state.listSeen = true;
  for (const listed of list) {
    names.add(listed.name);
    // Lists lag: what is proven gone stays on them for a while.
    if (state.gone.has(listed.name)) continue;
    const machine = machineOf(state, listed.name, now.steady);
    if (machine.endpoint === '') machine.endpoint = listed.endpoint;
    if (machine.session === 0) {
      if (machine.type !== listed.type) machine.view = null;
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      if (!state.booting.has(listed.name) && listed.state === 'booting')
        state.booting.set(listed.name, {
          type: listed.type,
          zone: listed.zone,
          spot: listed.spot,
          since: now.steady - listed.age,
        });
    }
    if (machine.listed !== listed.state) state.needPass = true;
    machine.listed = listed.state;
    machine.listedAt = now.steady;
  }
  // The list lags and may go back in time: only what has long been missing and silent is dropped.
  const long = state.facts.listLag * 6n;
  for (const machine of [...state.machines.values()]) {
    if (names.has(machine.name)) continue;
    if (machine.intents.size > 0) {
      onUnlisted(state, machine, sent, now);
      continue;
    }
    const last = [machine.heard, machine.listedAt ?? 0n, machine.firstKnown].reduce((a, b) =>
      a > b ? a : b,
    );
    if (now.steady - last > long && now.steady > leaseEnd(state, machine)) {
      state.machines.delete(machine.name);
      state.booting.delete(machine.name);
      state.loose.delete(machine.name);
      state.flying.delete(machine.name);
      state.forgets.delete(machine.name);
    }
  }
}

/**
 * A list describes a moment at most twice its lag before it was asked for, and holds every machine that was there then
 * and had been for so long. A machine that reported, or had a place recorded, before that moment and is not listed is
 * gone with all it held: taken back, or deleted. Without this proof the tasks of spot machines that were taken just
 * before a takeover waited for leases that an earlier owner might have renewed, and again after each further one.
 */
function onUnlisted(state: ClusterState, machine: Machine, sent: Steady, now: Now): void {
  const existed = machine.heard > 0n ? machine.heard : state.began;
  if (sent < existed + (state.facts.listLag * 5n) / 2n + seconds(2)) return;
  emitLog(state, 'not listed any more: gone', { machine: machine.name, tasks: machine.intents.size }, 'info');
  for (const intent of [...machine.intents.values()])
    endIntent(state, intent, false, 'machine gone', now.steady);
  dropMachine(state, machine.name, now.steady);
}

/** The cloud has answered: these machines and all they held are gone. */
export function onReturned(state: ClusterState, names: readonly string[], now: Now): void {
  for (const name of names) {
    const machine = state.machines.get(name);
    if (machine === undefined) continue;
    for (const intent of [...machine.intents.values()])
      endIntent(state, intent, false, 'machine returned', now.steady);
    dropMachine(state, name, now.steady);
  }
  state.needPass = true;
}

/** Copies of a gone machine's reports come late, but hardly later than this. */
const COPIES_COME = seconds(600);

/** Proven gone. A late copy of its reports would otherwise make it look alive, and work would be sent there. */
function dropMachine(state: ClusterState, name: string, now: Steady): void {
  state.machines.delete(name);
  state.booting.delete(name);
  state.loose.delete(name);
  state.flying.delete(name);
  state.forgets.delete(name);
  state.gone.set(name, now);
  for (const [old, at] of state.gone) {
    if (now - at < COPIES_COME) break;
    state.gone.delete(old);
  }
}
