/** @file Finds machines to release: idle ones, and those that cannot run tasks. */
import type { Machine } from '../model/machine.js';
import { type Timestamp, seconds } from '../model/time.js';
import { manySuspected } from '../reconciliation/failure-detector.js';
import { leaseExpiry } from '../machines/lease-expiry.js';
import { isZoneUnavailable } from '../scheduling/zone-availability.js';
import type { ClusterState } from '../state/cluster-state.js';

/** The cloud charges for at least this time, so that releasing an idle machine earlier saves nothing. */
const MIN_BILLED_TIME = seconds(60);

/** Upper bound on the names that the cloud accepts in one request. */
const MAX_MACHINES_PER_SCALE_IN = 100;

/**
 * Number of worker lease durations after which a machine is released that is unreachable (commands do not reach its
 * worker) or unresponsive (its worker sends no heartbeats): a short partition has ended by then.
 */
const MIN_OUTAGE_LEASES = 2n;

/** A machine that has not sent a heartbeat after this many boot times is assumed never to send one. */
const MAX_BOOT_TIMES = 5n;

/** Machines to release together. */
export interface MachineRelease {
  readonly machineNames: readonly string[];
  readonly reason: string;
}

/**
 * Returns machines without tasks and assignments that are idle or cannot run tasks, in requests no larger than the
 * cloud accepts. Also updates since when each machine is idle.
 */
export function machinesToRelease(state: ClusterState, now: Timestamp): MachineRelease[] {
  const namesByReason = new Map<string, string[]>();
  const manyAreSuspected = manySuspected(state, now);
  for (const machine of state.machines.byName.values()) {
    if (machine.releasing || machine.assignments.size > 0 || machine.reportedTasks.size > 0) {
      machine.idleSince = null;
      continue;
    }
    const reason = unusableReason(state, machine, manyAreSuspected, now) ?? idleReason(state, machine, now);
    if (reason === null) continue;
    const names = namesByReason.get(reason);
    if (names === undefined) namesByReason.set(reason, [machine.name]);
    else names.push(machine.name);
  }
  return [...namesByReason].flatMap(([reason, names]) => splitIntoRequests(names, reason));
}

function splitIntoRequests(names: readonly string[], reason: string): MachineRelease[] {
  const requests: MachineRelease[] = [];
  for (let start = 0; start < names.length; start += MAX_MACHINES_PER_SCALE_IN)
    requests.push({ machineNames: names.slice(start, start + MAX_MACHINES_PER_SCALE_IN), reason });
  return requests;
}

function idleReason(state: ClusterState, machine: Machine, now: Timestamp): string | null {
  // Machines of an unavailable zone are idle because of the zone policy; tasks are meant to return to them.
  if (machine.agentEpoch === 0 || isZoneUnavailable(state, machine.zone)) return null;
  machine.idleSince ??= now.monotonic;
  const idleLongEnough =
    now.monotonic - machine.idleSince >= state.settings.idleTimeout &&
    now.monotonic - machine.firstSeenAt >= MIN_BILLED_TIME;
  return machine.draining && machine.hasShownTermToken && idleLongEnough ? 'idle' : null;
}

function unusableReason(
  state: ClusterState,
  machine: Machine,
  manyAreSuspected: boolean,
  now: Timestamp,
): string | null {
  if (machine.instanceState === 'failed') return 'failed';
  if (machine.agentEpoch > 0 && machine.quarantined) return 'quarantined';
  // When many machines are suspected together, it is more likely that the leader is cut off from them.
  if (!manyAreSuspected && isUnreachableTooLong(state, machine, now)) return 'unreachable';
  if (!manyAreSuspected && isUnresponsiveTooLong(state, machine, now)) return 'unresponsive';
  return hasBootTimedOut(state, machine, now) ? 'boot timeout' : null;
}

function isUnreachableTooLong(state: ClusterState, machine: Machine, now: Timestamp): boolean {
  return (
    machine.unreachableSince !== null &&
    now.monotonic - machine.unreachableSince > state.config.workerLease * MIN_OUTAGE_LEASES
  );
}

function isUnresponsiveTooLong(state: ClusterState, machine: Machine, now: Timestamp): boolean {
  return (
    machine.agentEpoch > 0 &&
    now.monotonic - machine.lastHeartbeatAt > state.config.workerLease * MIN_OUTAGE_LEASES &&
    now.monotonic > leaseExpiry(state, machine)
  );
}

function hasBootTimedOut(state: ClusterState, machine: Machine, now: Timestamp): boolean {
  const booting = state.machines.booting.get(machine.name);
  const type = state.machines.types.get(machine.type);
  return (
    machine.agentEpoch === 0 &&
    booting !== undefined &&
    type !== undefined &&
    now.monotonic - booting.since > type.bootTime * MAX_BOOT_TIMES
  );
}
