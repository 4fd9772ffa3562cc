/** @file Passes observations of the fleet to the zone policy, logs its zone changes and stores its record. */
import { failoverSettlingTime, isResponsive, zoneOf } from '../machines/responsiveness.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Duration, type Timestamp, seconds } from '../model/time.js';
import type { FleetObservation, ZoneObservation } from '../model/zone-policy.js';
import type { ClusterState } from '../state/cluster-state.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { emitLog } from '../state/log-effects.js';

/** Time that starting a task takes in addition to its image fetch. */
const START_OVERHEAD = seconds(2);

/** Passes the fleet to the policy, logs each zone change once and stores a new record for the next leader. */
export function observeZones(state: ClusterState, now: Timestamp): void {
  const policy = state.zonePolicy;
  if (policy === null) return;
  for (const change of policy.observe(observeFleet(state, now), now)) {
    emitLog(state, 'zone', { ...change }, 'info');
    state.scheduling.cycleNeeded = true;
  }
  const record = policy.takeUnsavedRecord();
  if (record !== null) state.effects.push({ kind: 'persist-zones', record });
}

function observeFleet(state: ClusterState, now: Timestamp): FleetObservation {
  return {
    zones: observeEachZone(state, now),
    leadershipConfirmed:
      mayStartTasks(state.term.confirmedAt, now.monotonic) &&
      now.monotonic - state.term.startedAt > failoverSettlingTime(state.config),
    replicasMissing: countMissingReplicas(state),
    slowestStart: slowestStart(state),
  };
}

interface ZoneTally {
  known: number;
  gpus: number;
  readonly responsiveMachines: string[];
}

function observeEachZone(state: ClusterState, now: Timestamp): ZoneObservation[] {
  const tallies = new Map<string, ZoneTally>();
  for (const zone of state.config.zones) tallies.set(zone, { known: 0, gpus: 0, responsiveMachines: [] });
  for (const machine of state.machines.byName.values()) {
    const tally = tallies.get(zoneOf(machine));
    if (tally === undefined || !isKnown(machine)) continue;
    tally.known += 1;
    if (!isResponsive(state.config, machine, now)) continue;
    tally.responsiveMachines.push(machine.name);
    tally.gpus += state.machines.types.get(machine.type)?.gpus ?? 0;
  }
  return [...tallies].map(([zone, tally]) => ({
    zone,
    known: tally.known,
    gpus: tally.gpus,
    responsiveMachines: tally.responsiveMachines,
    responsive: tally.responsiveMachines.length,
  }));
}

/**
 * True for machines that sent a heartbeat in this term or have recorded assignments, unless being released or failed.
 */
const isKnown = (machine: Machine): boolean =>
  !machine.releasing &&
  machine.instanceState !== 'failed' &&
  (machine.agentEpoch > 0 || machine.assignments.size > 0);

function countMissingReplicas(state: ClusterState): number {
  let missing = 0;
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job?.spec.kind === 'service' && job.status === 'open') missing += job.unassignedTasks.size;
  }
  return missing;
}

/** Returns the time of the slowest start under way: its image fetch at full bandwidth, plus the overhead. */
function slowestStart(state: ClusterState): Duration {
  let slowestSeconds = 0;
  for (const machine of state.machines.byName.values()) {
    const rate = state.machines.types.get(machine.type)?.fetchGbPerS ?? 0;
    if (rate <= 0) continue;
    for (const job of jobsFetchingOn(state, machine))
      slowestSeconds = Math.max(slowestSeconds, job.spec.imageGb / rate);
  }
  return seconds(slowestSeconds) + START_OVERHEAD;
}

function* jobsFetchingOn(state: ClusterState, machine: Machine): Generator<Job> {
  for (const assignment of machine.assignments.values()) {
    if (assignment.phase !== 'assigned' && assignment.phase !== 'fetching') continue;
    const job = state.jobs.byId.get(assignment.jobId);
    if (job !== undefined && !machine.cachedImages.has(job.spec.image)) yield job;
  }
}
