/**
 * @file Concludes from missing heartbeats which machines have failed, and whether it is rather the leader that is cut
 * off. It releases nothing itself. Without proof nothing counts as gone: a lease expires, or the cloud terminates the
 * machine.
 */
import { requestProbe } from '../commands/probes.js';
import { failoverSettlingTime, isSuspected, suspicionTimeout } from '../machines/responsiveness.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';

/** How long a suspected machine with replicas has to answer a probe. */
const PROBE_RESPONSE_TIMEOUT = seconds(2.5);

/** With fewer machines than this, their silence says little about the leader. */
const MIN_MACHINES_FOR_CUT_OFF = 3;

/** Whether so many of the machines are missing that it is more likely the leader that is cut off. */
const isLargeShare = (missing: number, all: number): boolean => missing > Math.max(1, all / 5);

/** Whether so many machines are suspected together that none of them may be released for it. */
export function manySuspected(state: ClusterState, now: Timestamp): boolean {
  const machines = fencedMachines(state);
  return isLargeShare(countSuspected(state, machines, now), machines.length);
}

/**
 * A leader that reaches the state store but hardly any worker keeps their leases from being renewed by anybody: the
 * other controllers send the workers back to it. It steps down, in time for another leader to acknowledge heartbeats
 * before the leases expire.
 */
export function isCutOffFromWorkers(state: ClusterState, now: Timestamp): boolean {
  if (now.monotonic - state.term.startedAt < state.config.workerLease / 2n) return false;
  const machines = fencedMachines(state);
  const suspected = countSuspected(state, machines, now);
  return machines.length >= MIN_MACHINES_FOR_CUT_OFF && suspected * 4 >= machines.length * 3;
}

/**
 * Machines with replicas that became unresponsive. Waiting for their leases would leave users without those replicas,
 * so that each is probed and, if it does not answer, listed here to be released: its termination proves its tasks
 * gone. When many are suspected together the leader is more likely cut off: then their leases decide.
 */
export function findUnresponsiveMachines(state: ClusterState, now: Timestamp): string[] {
  // In an overloaded process heartbeats that seem to be missing may have arrived and not been read yet.
  if (isOverloaded(state.term)) return [];
  if (now.monotonic - state.term.startedAt < failoverSettlingTime(state.config)) return [];
  const unresponsive = machinesWithoutHeartbeat(state);
  if (manySuspected(state, now)) return unresponsive;
  const releaseAfter = suspicionTimeout(state.config) + PROBE_RESPONSE_TIMEOUT;
  for (const machine of fencedMachines(state)) {
    if (machine.agentEpoch <= machine.lastExpiredEpoch || !isSuspected(state.config, machine, now.monotonic))
      continue;
    if (!holdsReplica(state, machine)) continue;
    if (now.monotonic - machine.lastHeartbeatAt > releaseAfter) unresponsive.push(machine.name);
    else requestProbe(state, machine);
  }
  return unresponsive;
}

/**
 * Machines with recorded replicas that sent no heartbeat in this term, while nearly all others with work did. An earlier
 * leader may have acknowledged their heartbeats until shortly before it ended, so that their leases prove nothing for
 * most of a minute; a machine that is cut off around a failover would leave its users without replicas for that time.
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
  return withoutHeartbeat.filter((machine) => holdsReplica(state, machine)).map((machine) => machine.name);
}

const fencedMachines = (state: ClusterState): Machine[] =>
  [...state.machines.byName.values()].filter(
    (machine) =>
      machine.fenced && !machine.releasing && machine.instanceState !== 'failed' && machine.agentEpoch > 0,
  );

const countSuspected = (state: ClusterState, machines: readonly Machine[], now: Timestamp): number =>
  machines.filter((machine) => isSuspected(state.config, machine, now.monotonic)).length;

const holdsReplica = (state: ClusterState, machine: Machine): boolean =>
  [...machine.assignments.values()].some(
    (assignment) => state.jobs.byId.get(assignment.jobId)?.spec.kind === 'service',
  );
