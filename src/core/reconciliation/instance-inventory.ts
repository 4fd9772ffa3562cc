/** @file The cloud's word on machines: the list, and what was returned. */
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { endAssignment } from '../assignments/assignments.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import { leaseExpiry } from './worker-leases.js';
import type { CloudInstance, Machine } from '../model/machine.js';
import { type Timestamp, type MonotonicTime, seconds } from '../model/time.js';

/** Takes in a whole list of the cloud's. */
export function reconcileInventory(
  state: ClusterState,
  list: readonly CloudInstance[],
  sent: MonotonicTime,
  now: Timestamp,
): void {
  const names = new Set<string>();
  state.machines.inventorySeen = true;
  for (const listed of list) {
    names.add(listed.name);
    // Lists lag: what is proven gone stays on them for a while.
    if (state.machines.terminated.has(listed.name)) continue;
    const machine = getOrAddMachine(state, listed.name, now.monotonic);
    if (machine.endpoint === '') machine.endpoint = listed.endpoint;
    if (machine.agentEpoch === 0) {
      if (machine.type !== listed.type) machine.resources = null;
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      if (!state.machines.booting.has(listed.name) && listed.state === 'booting')
        state.machines.booting.set(listed.name, {
          type: listed.type,
          zone: listed.zone,
          spot: listed.spot,
          since: now.monotonic - listed.age,
        });
    }
    if (machine.instanceState !== listed.state) state.scheduling.cycleNeeded = true;
    machine.instanceState = listed.state;
    machine.lastListedAt = now.monotonic;
  }
  // The list lags and may go back in time: only what has long been missing and silent is dropped.
  const long = state.config.inventoryLag * 6n;
  for (const machine of [...state.machines.byName.values()]) {
    if (names.has(machine.name)) continue;
    if (machine.assignments.size > 0) {
      onUnlisted(state, machine, sent, now);
      continue;
    }
    const last = [machine.lastHeartbeatAt, machine.lastListedAt ?? 0n, machine.firstSeenAt].reduce((a, b) =>
      a > b ? a : b,
    );
    if (now.monotonic - last > long && now.monotonic > leaseExpiry(state, machine)) {
      state.machines.byName.delete(machine.name);
      state.machines.booting.delete(machine.name);
      state.commands.unresolvedStarts.delete(machine.name);
      state.commands.startsInFlight.delete(machine.name);
      state.commands.pendingForgets.delete(machine.name);
    }
  }
}

/**
 * A list describes a moment at most twice its lag before it was asked for, and holds every machine that was there then
 * and had been for so long. A machine that reported, or had a place recorded, before that moment and is not listed is
 * gone with all it held: taken back, or deleted. Without this proof the tasks of spot machines that were taken just
 * before a takeover waited for leases that an earlier owner might have renewed, and again after each further one.
 */
function onUnlisted(state: ClusterState, machine: Machine, sent: MonotonicTime, now: Timestamp): void {
  const existed = machine.lastHeartbeatAt > 0n ? machine.lastHeartbeatAt : state.term.startedAt;
  if (sent < existed + (state.config.inventoryLag * 5n) / 2n + seconds(2)) return;
  emitLog(
    state,
    'not listed any more: gone',
    { machine: machine.name, tasks: machine.assignments.size },
    'info',
  );
  for (const assignment of [...machine.assignments.values()])
    endAssignment(state, assignment, false, 'machine gone', now.monotonic);
  dropMachine(state, machine.name, now.monotonic);
}

/** The cloud has answered: these machines and all they held are gone. */
export function onMachinesReleased(state: ClusterState, names: readonly string[], now: Timestamp): void {
  for (const name of names) {
    const machine = state.machines.byName.get(name);
    if (machine === undefined) continue;
    for (const assignment of [...machine.assignments.values()])
      endAssignment(state, assignment, false, 'machine returned', now.monotonic);
    dropMachine(state, name, now.monotonic);
  }
  state.scheduling.cycleNeeded = true;
}

/** Copies of a gone machine's reports come late, but hardly later than this. */
const COPIES_COME = seconds(600);

/** Proven gone. A late copy of its reports would otherwise make it look alive, and work would be sent there. */
function dropMachine(state: ClusterState, name: string, now: MonotonicTime): void {
  state.machines.byName.delete(name);
  state.machines.booting.delete(name);
  state.commands.unresolvedStarts.delete(name);
  state.commands.startsInFlight.delete(name);
  state.commands.pendingForgets.delete(name);
  state.machines.terminated.set(name, now);
  for (const [old, at] of state.machines.terminated) {
    if (now - at < COPIES_COME) break;
    state.machines.terminated.delete(old);
  }
}
