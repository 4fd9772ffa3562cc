/** @file Zones as a policy for lost and returning ones sees them. Without such a policy nothing here is done. */
import { type ClusterState, emitLog } from './cluster-state.js';
import { zonesTaken } from './intents.js';
import type { Intent, Job, Machine } from './model.js';
import { mayStart } from './ownership-timing.js';
import { type Candidate, fitsIn, machineAllowed, zoneAllowed } from './placement.js';
import { type Now, type Span, seconds } from './time.js';
import { waitedSeconds } from './urgency.js';
import type { FleetObservation, ZoneObservation, ZoneRequest } from './zone-policy.js';

/** A replica whose machine is in a zone that may be lost, and that may have to start elsewhere. */
export interface Displaced {
  readonly job: Job;
  readonly tasks: ReadonlySet<number>;
}

/** How long a machine may be silent before it counts as not heard. */
const quietAfter = (state: ClusterState): Span => (state.facts.report * 5n) / 2n + seconds(1);

const isHeard = (state: ClusterState, machine: Machine, now: Now): boolean =>
  machine.session > 0 && machine.heard > 0n && now.steady - machine.heard <= quietAfter(state);

interface ZoneTally {
  known: number;
  gpus: number;
  readonly names: string[];
}

function tallyZones(state: ClusterState, now: Now): ZoneObservation[] {
  const tallies = new Map<string, ZoneTally>();
  for (const zone of state.facts.zones) tallies.set(zone, { known: 0, gpus: 0, names: [] });
  for (const machine of state.machines.values()) {
    if (machine.returning || machine.listed === 'failed') continue;
    if (machine.session === 0 && machine.intents.size === 0) continue;
    const tally = tallies.get(zoneOf(machine));
    if (tally === undefined) continue;
    tally.known += 1;
    if (!isHeard(state, machine, now)) continue;
    tally.names.push(machine.name);
    tally.gpus += state.types.get(machine.type)?.gpus ?? 0;
  }
  return [...tallies].map(([zone, { known, gpus, names }]) => ({
    zone,
    known,
    gpus,
    names,
    heard: names.length,
  }));
}

/** A machine that has not reported in this term is known by the places that are recorded on it. */
function zoneOf(machine: Machine): string {
  if (machine.zone !== '') return machine.zone;
  for (const intent of machine.intents.values()) return intent.zone;
  return '';
}

/** Seconds that a start takes beside the image fetch. */
const START_OVERHEAD = seconds(2);

function slowestStart(state: ClusterState): Span {
  let slowest = 0;
  for (const machine of state.machines.values()) {
    const rate = state.types.get(machine.type)?.fetchGbPerS ?? 0;
    if (rate <= 0) continue;
    for (const intent of machine.intents.values()) {
      if (intent.phase !== 'placed' && intent.phase !== 'fetching') continue;
      const job = state.jobs.get(intent.job);
      if (job !== undefined && !machine.images.has(job.spec.image))
        slowest = Math.max(slowest, job.spec.imageGb / rate);
    }
  }
  return seconds(slowest) + START_OVERHEAD;
}

function replicasMissing(state: ClusterState): number {
  let missing = 0;
  for (const id of state.waiting) {
    const job = state.jobs.get(id);
    if (job?.spec.kind === 'service' && job.standing === 'open') missing += job.free.size;
  }
  return missing;
}

/** From a term's beginning, workers need this long to find their new owner. */
const settling = (state: ClusterState): Span => quietAfter(state) + state.facts.report * 2n;

function observeFleet(state: ClusterState, now: Now): FleetObservation {
  return {
    zones: tallyZones(state, now),
    inContact: mayStart(state.contact, now.steady) && now.steady - state.began > settling(state),
    replicasMissing: replicasMissing(state),
    startTakes: slowestStart(state),
  };
}

/** Has the policy look at the fleet; what changes is told once in the log and kept for the next owner. */
export function watchZones(state: ClusterState, now: Now): void {
  const policy = state.zonePolicy;
  if (policy === null) return;
  for (const change of policy.observe(observeFleet(state, now), now)) {
    emitLog(state, 'zone', { ...change }, 'info');
    state.needPass = true;
  }
  const record = policy.takeRecord();
  if (record !== null) state.effects.push({ kind: 'keep zones', record });
}

const hasBegun = (job: Job): boolean => [...job.chunks.values()].some((chunk) => chunk.attempt > 0);

const requestOf = (job: Job, zone: string, now: Now): ZoneRequest => ({
  kind: job.spec.kind,
  priority: job.priority,
  bound: job.spec.zone === zone,
  // Work that has begun before, and was lost with its zone, has no claim to begin in time.
  waited: hasBegun(job) ? 0n : seconds(waitedSeconds(job, now)),
});

/** Whether the job may go on a machine, as far as its zone's state is concerned. */
export function zoneAdmits(state: ClusterState, job: Job, machine: Machine, now: Now): boolean {
  const policy = state.zonePolicy;
  return policy === null || policy.admits(machine.zone, machine.name, requestOf(job, machine.zone, now));
}

/** Whether nothing should be rented or waited for in the zone. */
export const isZoneOut = (state: ClusterState, zone: string): boolean =>
  state.zonePolicy?.isOut(zone) === true;

/** Replicas on silent machines of zones that may be lost, by job. */
export function displacedReplicas(state: ClusterState, now: Now): Displaced[] {
  const policy = state.zonePolicy;
  if (policy === null) return [];
  const byJob = new Map<Job, Set<number>>();
  for (const machine of state.machines.values()) {
    if (!policy.isEvacuated(zoneOf(machine)) || isHeard(state, machine, now)) continue;
    for (const intent of machine.intents.values()) addDisplaced(state, byJob, intent);
  }
  return [...byJob].map(([job, tasks]) => ({ job, tasks }));
}

function addDisplaced(state: ClusterState, byJob: Map<Job, Set<number>>, intent: Intent): void {
  const job = state.jobs.get(intent.job);
  if (job === undefined || job.spec.kind !== 'service' || job.standing !== 'open') return;
  const tasks = byJob.get(job);
  if (tasks === undefined) byJob.set(job, new Set([intent.task]));
  else tasks.add(intent.task);
}

/**
 * Keeps room in the remaining zones for replicas that may have to start there. It is only kept from lower work: the
 * replicas themselves start when it is proven that they are gone.
 */
export function keepRoomForDisplaced(displaced: readonly Displaced[], open: readonly Candidate[]): void {
  for (const { job, tasks } of displaced) {
    const taken = zonesTaken(job);
    for (const task of tasks) {
      const lost = zoneOfTask(job, task);
      if (lost !== null) taken.set(lost, Math.max(0, (taken.get(lost) ?? 0) - 1));
      const best = roomFor(job, open, taken);
      if (best === null) break;
      best.room.cpus -= job.spec.cpus;
      best.room.gpus -= job.spec.gpus;
      best.room.memory -= job.spec.memory;
      taken.set(best.machine.zone, (taken.get(best.machine.zone) ?? 0) + 1);
    }
  }
}

function zoneOfTask(job: Job, task: number): string | null {
  for (const chunk of job.chunks.values()) {
    const intent = chunk.intents.get(task);
    if (intent !== undefined) return intent.zone;
  }
  return null;
}

/** The machine with the least room that is enough: what is whole elsewhere stays so. */
function roomFor(job: Job, open: readonly Candidate[], taken: ReadonlyMap<string, number>): Candidate | null {
  let best: Candidate | null = null;
  for (const candidate of open) {
    if (!fitsIn(job.spec, candidate.room) || !machineAllowed(job.spec, candidate.machine)) continue;
    if (!zoneAllowed(job, candidate.machine.zone, taken)) continue;
    if (best === null || candidate.room.gpus < best.room.gpus) best = candidate;
  }
  return best;
}
