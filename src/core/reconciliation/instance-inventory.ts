/** @file Reconciles the leader's machines with the cloud's inventory and its list of machine types. */
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { CloudInstance, Machine, MachineType } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, laterOf, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { removeMachine, removeTerminatedMachine } from './machine-removal.js';
import { leaseExpiry } from '../machines/lease-expiry.js';

/**
 * A machine without assignments that is not listed and sends no heartbeats is removed after this many inventory lags.
 */
const UNLISTED_RETENTION_LAGS = 6n;

/** Margin that is added, with half a lag, to the two lags by which an inventory may be older than its request. */
const INVENTORY_PROOF_MARGIN = seconds(2);

/** Stores the cloud's machine types. */
export function updateMachineTypes(state: ClusterState, types: readonly MachineType[]): void {
  for (const type of types) state.machines.types.set(type.name, type);
  for (const machine of state.machines.byName.values()) machine.resources = null;
  state.scheduling.cycleNeeded = true;
}

/** Reconciles the machines with a complete inventory of the cloud, which was requested at `requestedAt`. */
export function reconcileInventory(
  state: ClusterState,
  instances: readonly CloudInstance[],
  requestedAt: MonotonicTime,
  now: Timestamp,
): void {
  const listedNames = new Set<string>();
  state.machines.inventoryReceived = true;
  for (const instance of instances) {
    listedNames.add(instance.name);
    // Inventories lag: a machine that is proven to be terminated remains listed for a while.
    if (!state.machines.terminated.has(instance.name)) updateFromInstance(state, instance, now);
  }
  for (const machine of [...state.machines.byName.values()])
    if (!listedNames.has(machine.name)) onUnlisted(state, machine, requestedAt, now);
}

function updateFromInstance(state: ClusterState, instance: CloudInstance, now: Timestamp): void {
  const machine = getOrAddMachine(state, instance.name, now.monotonic);
  if (machine.endpoint === '') machine.endpoint = instance.endpoint;
  // Once the worker has sent a heartbeat, the heartbeat is the better source.
  if (machine.agentEpoch === 0) {
    if (machine.type !== instance.type) machine.resources = null;
    machine.type = instance.type;
    machine.zone = instance.zone;
    machine.spot = instance.spot;
    if (!state.machines.booting.has(instance.name) && instance.state === 'booting')
      state.machines.booting.set(instance.name, {
        type: instance.type,
        zone: instance.zone,
        spot: instance.spot,
        since: now.monotonic - instance.age,
      });
  }
  if (machine.instanceState !== instance.state) state.scheduling.cycleNeeded = true;
  machine.instanceState = instance.state;
  machine.lastListedAt = now.monotonic;
}

function onUnlisted(state: ClusterState, machine: Machine, requestedAt: MonotonicTime, now: Timestamp): void {
  if (machine.assignments.size > 0) {
    if (isProvenTerminated(state, machine, requestedAt)) onUnlistedWithAssignments(state, machine, now);
    return;
  }
  // Inventories lag, and a later one may describe an earlier moment, so a machine is removed only if it has been
  // unlisted and has sent no heartbeats for a long time.
  const lastSeenAt = laterOf(
    laterOf(machine.lastHeartbeatAt, machine.lastListedAt ?? 0n),
    machine.firstSeenAt,
  );
  if (
    now.monotonic - lastSeenAt > state.config.inventoryLag * UNLISTED_RETENTION_LAGS &&
    now.monotonic > leaseExpiry(state, machine)
  )
    removeMachine(state, machine.name);
}

/**
 * An inventory describes a moment at most twice its lag before it was requested, and lists every machine that existed
 * then and had for so long. A machine that sent a heartbeat, or had an assignment recorded, before that moment and is
 * not listed has been terminated: preempted or deleted. Without this proof, the tasks of spot machines that were
 * preempted just before a failover waited for leases that a previous leader might have renewed, and waited again after
 * each further failover.
 */
function isProvenTerminated(state: ClusterState, machine: Machine, requestedAt: MonotonicTime): boolean {
  const existedAt = machine.lastHeartbeatAt > 0n ? machine.lastHeartbeatAt : state.term.startedAt;
  return requestedAt >= existedAt + (state.config.inventoryLag * 5n) / 2n + INVENTORY_PROOF_MARGIN;
}

function onUnlistedWithAssignments(state: ClusterState, machine: Machine, now: Timestamp): void {
  emitLog(
    state,
    'machine terminated: not in the inventory',
    { machine: machine.name, tasks: machine.assignments.size },
    'info',
  );
  removeTerminatedMachine(state, machine, 'machine terminated', now);
}

/** Removes machines that the cloud has terminated on request, and ends their assignments. */
export function onMachinesReleased(state: ClusterState, names: readonly string[], now: Timestamp): void {
  for (const name of names) {
    const machine = state.machines.byName.get(name);
    if (machine !== undefined) removeTerminatedMachine(state, machine, 'machine released', now);
  }
  state.scheduling.cycleNeeded = true;
}
