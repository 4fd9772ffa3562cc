/** @file Zones as a policy for lost and returning ones sees them. Without such a policy nothing here is done. */
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { assignmentsByZone } from '../assignments/assignments.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { failoverSettlingTime, isSuspected } from '../machines/suspicion.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { type Candidate, fits, isMachineAllowed, isZoneAllowed } from './scoring.js';
import { type Timestamp, type Duration, seconds } from '../model/time.js';
import { pendingSeconds } from '../jobs/deadline-slack.js';
import type { FleetObservation, ZoneObservation, ZoneAdmissionRequest } from '../model/zone-policy.js';

/** A replica whose machine is in a zone that may be lost, and that may have to start elsewhere. */
export interface DisplacedReplicas {
  readonly job: Job;
  readonly tasks: ReadonlySet<number>;
}

const isHeard = (state: ClusterState, machine: Machine, now: Timestamp): boolean =>
  machine.agentEpoch > 0 &&
  machine.lastHeartbeatAt > 0n &&
  !isSuspected(state.config, machine, now.monotonic);

interface ZoneTally {
  known: number;
  gpus: number;
  readonly names: string[];
}

function tallyZones(state: ClusterState, now: Timestamp): ZoneObservation[] {
  const tallies = new Map<string, ZoneTally>();
  for (const zone of state.config.zones) tallies.set(zone, { known: 0, gpus: 0, names: [] });
  for (const machine of state.machines.byName.values()) {
    if (machine.releasing || machine.instanceState === 'failed') continue;
    if (machine.agentEpoch === 0 && machine.assignments.size === 0) continue;
    const tally = tallies.get(zoneOf(machine));
    if (tally === undefined) continue;
    tally.known += 1;
    if (!isHeard(state, machine, now)) continue;
    tally.names.push(machine.name);
    tally.gpus += state.machines.types.get(machine.type)?.gpus ?? 0;
  }
  return [...tallies].map(([zone, { known, gpus, names }]) => ({
    zone,
    known,
    gpus,
    responsiveMachines: names,
    responsive: names.length,
  }));
}

/** A machine that has not reported in this term is known by the places that are recorded on it. */
function zoneOf(machine: Machine): string {
  if (machine.zone !== '') return machine.zone;
  for (const assignment of machine.assignments.values()) return assignment.zone;
  return '';
}

/** Seconds that a start takes beside the image fetch. */
const START_OVERHEAD = seconds(2);

function slowestStart(state: ClusterState): Duration {
  let slowest = 0;
  for (const machine of state.machines.byName.values()) {
    const rate = state.machines.types.get(machine.type)?.fetchGbPerS ?? 0;
    if (rate <= 0) continue;
    for (const assignment of machine.assignments.values()) {
      if (assignment.phase !== 'assigned' && assignment.phase !== 'fetching') continue;
      const job = state.jobs.byId.get(assignment.jobId);
      if (job !== undefined && !machine.cachedImages.has(job.spec.image))
        slowest = Math.max(slowest, job.spec.imageGb / rate);
    }
  }
  return seconds(slowest) + START_OVERHEAD;
}

function replicasMissing(state: ClusterState): number {
  let missing = 0;
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job?.spec.kind === 'service' && job.status === 'open') missing += job.unassignedTasks.size;
  }
  return missing;
}

function observeFleet(state: ClusterState, now: Timestamp): FleetObservation {
  return {
    zones: tallyZones(state, now),
    leadershipConfirmed:
      mayStartTasks(state.term.confirmedAt, now.monotonic) &&
      now.monotonic - state.term.startedAt > failoverSettlingTime(state.config),
    replicasMissing: replicasMissing(state),
    slowestStart: slowestStart(state),
  };
}

/** Has the policy look at the fleet; what changes is told once in the log and kept for the next owner. */
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

const hasBegun = (job: Job): boolean => [...job.chunks.values()].some((chunk) => chunk.highestAttempt > 0);

const requestOf = (job: Job, zone: string, now: Timestamp): ZoneAdmissionRequest => ({
  kind: job.spec.kind,
  priority: job.priority,
  restrictedToZone: job.spec.zone === zone,
  // Work that has begun before, and was lost with its zone, has no claim to begin in time.
  pendingFor: hasBegun(job) ? 0n : seconds(pendingSeconds(job, now)),
});

/** Whether the job may go on a machine, as far as its zone's state is concerned. */
export function zoneAdmits(state: ClusterState, job: Job, machine: Machine, now: Timestamp): boolean {
  const policy = state.zonePolicy;
  return policy === null || policy.admits(machine.zone, machine.name, requestOf(job, machine.zone, now));
}

/** Whether nothing should be rented or waited for in the zone. */
export const isZoneUnavailable = (state: ClusterState, zone: string): boolean =>
  state.zonePolicy?.isUnavailable(zone) === true;

/** Replicas on silent machines of zones that may be lost, by job. */
export function displacedReplicas(state: ClusterState, now: Timestamp): DisplacedReplicas[] {
  const policy = state.zonePolicy;
  if (policy === null) return [];
  const byJob = new Map<Job, Set<number>>();
  for (const machine of state.machines.byName.values()) {
    if (!policy.isEvacuating(zoneOf(machine)) || isHeard(state, machine, now)) continue;
    for (const assignment of machine.assignments.values()) addDisplaced(state, byJob, assignment);
  }
  return [...byJob].map(([job, tasks]) => ({ job, tasks }));
}

function addDisplaced(state: ClusterState, byJob: Map<Job, Set<number>>, assignment: Assignment): void {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || job.spec.kind !== 'service' || job.status !== 'open') return;
  const tasks = byJob.get(job);
  if (tasks === undefined) byJob.set(job, new Set([assignment.taskIndex]));
  else tasks.add(assignment.taskIndex);
}

/**
 * Keeps room in the remaining zones for replicas that may have to start there. It is only kept from lower work: the
 * replicas themselves start when it is proven that they are gone.
 */
export function reserveForDisplaced(
  displaced: readonly DisplacedReplicas[],
  open: readonly Candidate[],
): void {
  for (const { job, tasks } of displaced) {
    const taken = assignmentsByZone(job);
    for (const task of tasks) {
      const lost = zoneOfTask(job, task);
      if (lost !== null) taken.set(lost, Math.max(0, (taken.get(lost) ?? 0) - 1));
      const best = roomFor(job, open, taken);
      if (best === null) break;
      best.projected.cpus -= job.spec.cpus;
      best.projected.gpus -= job.spec.gpus;
      best.projected.memory -= job.spec.memory;
      taken.set(best.machine.zone, (taken.get(best.machine.zone) ?? 0) + 1);
    }
  }
}

function zoneOfTask(job: Job, task: number): string | null {
  for (const chunk of job.chunks.values()) {
    const assignment = chunk.assignments.get(task);
    if (assignment !== undefined) return assignment.zone;
  }
  return null;
}

/** The machine with the least room that is enough: what is whole elsewhere stays so. */
function roomFor(job: Job, open: readonly Candidate[], taken: ReadonlyMap<string, number>): Candidate | null {
  let best: Candidate | null = null;
  for (const candidate of open) {
    if (!fits(job.spec, candidate.projected) || !isMachineAllowed(job.spec, candidate.machine)) continue;
    if (!isZoneAllowed(job, candidate.machine.zone, taken)) continue;
    if (best === null || candidate.projected.gpus < best.projected.gpus) best = candidate;
  }
  return best;
}
