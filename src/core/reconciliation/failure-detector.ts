/**
 * @file Detects from missing heartbeats which machines have failed, and whether the leader is more likely to be cut off
 * from the workers. This module releases nothing itself. No task counts as gone without proof: either its worker's
 * lease expires, or the cloud terminates the machine.
 */
import { requestProbe } from '../commands/probes.js';
import { failoverSettlingTime, isSuspected, suspicionTimeout } from '../machines/responsiveness.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';

/** How long a suspected machine with service replicas has to respond to a probe. */
const PROBE_RESPONSE_TIMEOUT = seconds(2.5);

/** With fewer machines than this, missing heartbeats are weak evidence that the leader is cut off. */
const MIN_MACHINES_FOR_CUT_OFF = 3;

/**
 * True if so many machines are missing that the leader is more likely to be cut off than the machines to have failed.
 */
const isLargeShare = (missing: number, all: number): boolean => missing > Math.max(1, all / 5);

/** True if so many machines are suspected at once that none of them may be released for being suspected. */
export function manySuspected(state: ClusterState, now: Timestamp): boolean {
  const machines = machinesWithTermToken(state);
  return isLargeShare(countSuspected(state, machines, now), machines.length);
}

/**
 * True if the leader receives heartbeats from so few machines that it should step down. While it still reaches the
 * state store, the other controllers redirect workers to it, so no controller renews their leases. Stepping down now
 * leaves another leader enough time to acknowledge heartbeats before the leases expire.
 */
export function isCutOffFromWorkers(state: ClusterState, now: Timestamp): boolean {
  if (now.monotonic - state.term.startedAt < state.config.workerLease / 2n) return false;
  const machines = machinesWithTermToken(state);
  const suspected = countSuspected(state, machines, now);
  return machines.length >= MIN_MACHINES_FOR_CUT_OFF && suspected * 4 >= machines.length * 3;
}

/**
 * Returns the names of unresponsive machines with service replicas, which are to be released because their termination
 * proves their tasks gone. Waiting for their leases to expire would leave users without those replicas. A suspected
 * machine is probed first and returned only if it does not respond. If many machines are suspected at once, the leader
 * is more likely to be cut off, and their leases decide instead.
 */
export function findUnresponsiveMachines(state: ClusterState, now: Timestamp): string[] {
  // In an overloaded process, heartbeats that seem to be missing may have arrived without having been read yet.
  if (isOverloaded(state.term)) return [];
  if (now.monotonic - state.term.startedAt < failoverSettlingTime(state.config)) return [];
  const unresponsive = machinesWithoutHeartbeat(state);
  if (manySuspected(state, now)) return unresponsive;
  const releaseAfter = suspicionTimeout(state.config) + PROBE_RESPONSE_TIMEOUT;
  for (const machine of machinesWithTermToken(state)) {
    if (machine.agentEpoch <= machine.lastExpiredEpoch || !isSuspected(state.config, machine, now.monotonic))
      continue;
    if (!holdsServiceReplica(state, machine)) continue;
    if (now.monotonic - machine.lastHeartbeatAt > releaseAfter) unresponsive.push(machine.name);
    else requestProbe(state, machine);
  }
  return unresponsive;
}

/**
 * Returns the names of machines with recorded service replicas that have sent no heartbeat in this term, if nearly all
 * other machines with assignments have. A previous leader may have acknowledged their heartbeats until shortly before
 * it ended, so their leases prove nothing for most of a minute. For that time, a machine that was cut off around a
 * failover would leave its users without service replicas.
 */
function machinesWithoutHeartbeat(state: ClusterState): string[] {
  let withAssignments = 0;
  const withoutHeartbeat: Machine[] = [];
  for (const machine of state.machines.byName.values()) {
    if (machine.assignments.size === 0) continue;
    withAssignments += 1;
    if (machine.lastHeartbeatAt === 0n && !machine.releasing) withoutHeartbeat.push(machine);
  }
  if (isLargeShare(withoutHeartbeat.length, withAssignments)) return [];
  return withoutHeartbeat
    .filter((machine) => holdsServiceReplica(state, machine))
    .map((machine) => machine.name);
}

/** Returns the machines that have shown this term's fencing token, without those being released and failed ones. */
const machinesWithTermToken = (state: ClusterState): Machine[] =>
  [...state.machines.byName.values()].filter(
    (machine) =>
      machine.hasShownTermToken &&
      !machine.releasing &&
      machine.instanceState !== 'failed' &&
      machine.agentEpoch > 0,
  );

const countSuspected = (state: ClusterState, machines: readonly Machine[], now: Timestamp): number =>
  machines.filter((machine) => isSuspected(state.config, machine, now.monotonic)).length;

const holdsServiceReplica = (state: ClusterState, machine: Machine): boolean =>
  [...machine.assignments.values()].some(
    (assignment) => state.jobs.byId.get(assignment.jobId)?.spec.kind === 'service',
  );
