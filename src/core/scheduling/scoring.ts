/**
 * @file The design's core: filter by request, score by weighted delays plus contention, pick the largest smaller free
 * share within the band. The names are the paper's: r (free resources), c (request), ζ (tasks held), Ω, Γ, λ.
 */
import type { Job, JobSpec } from '../model/job.js';
import type { OperatorSettings } from '../model/operator-settings.js';
import type { Machine, MachineType } from '../model/machine.js';
import type { Resources } from '../model/resources.js';
import { toSeconds } from '../model/time.js';

/** A machine that may take tasks, as one pass sees it. */
export interface Candidate {
  readonly machine: Machine;
  readonly type: MachineType;
  /** r_i: what no intent and no reported task takes. */
  readonly free: Resources;
  /** r_i and what is being stopped, less what is promised to work of a higher level. */
  readonly projected: Resources;
  /** ζ_i: tasks held. */
  taskCount: number;
  /** Images being fetched there, by name, with the gigabytes that are at least still to come. */
  readonly imagePulls: Map<string, number>;
}

const EPSILON = 1e-6;

/** Whether a request fits into what is free. */
export function fits(spec: JobSpec, r: Resources): boolean {
  return spec.cpus <= r.cpus + EPSILON && spec.gpus <= r.gpus + EPSILON && spec.memory <= r.memory + EPSILON;
}

/** Ã, eq. (9), with twice the request as the limit. */
export function grantedCpu(c: number, r: number, phi: number): number {
  return Math.max(c, Math.min(phi * r, 2 * c));
}

/** Γ, eq. (18): nothing on an empty machine, doubling with each task held. */
export function contentionCost(zeta: number, settings: OperatorSettings): number {
  return zeta > 0 ? settings.betaCs + 2 ** (zeta - 1) * settings.betaRc : 0;
}

/**
 * Seconds until the image is there: none for a cached one. Images fetched at the same time share the machine's
 * bandwidth (ours; the paper's network delay takes the bandwidth that is free), and one that is under way already has
 * only its rest to come.
 */
export function imageFetchDelay(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  if (candidate.machine.cachedImages.has(spec.image)) return 0;
  const bandwidth = Math.max(settings.bandwidth ?? candidate.type.fetchGbPerS, EPSILON);
  const rest = candidate.imagePulls.get(spec.image);
  const sharers = candidate.imagePulls.size + (rest === undefined ? 1 : 0);
  return ((rest ?? spec.imageGb) * sharers) / bandwidth;
}

/** Ω in seconds for running `c` on the candidate. */
export function placementCost(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  const granted = grantedCpu(spec.cpus, candidate.free.cpus, settings.phi);
  const processing =
    granted > 0
      ? (toSeconds(spec.estimatedDuration) * spec.cpus) / granted
      : toSeconds(spec.estimatedDuration);
  const network = imageFetchDelay(spec, candidate, settings);
  return (
    settings.alpha * processing +
    (1 - settings.alpha) * network +
    contentionCost(candidate.taskCount, settings)
  );
}

const share = (part: number, whole: number): number => (whole > 0 ? part / whole : 1);

/** The smaller of the free CPU and free memory shares. */
export function freeShare(candidate: Candidate): number {
  return Math.min(
    share(candidate.free.cpus, candidate.type.cpus),
    share(candidate.free.memory, candidate.type.memory),
  );
}

/** A candidate with what decides between it and the others. It is counted anew only when something is placed there. */
export interface ScoredCandidate {
  readonly candidate: Candidate;
  cost: number;
  freeShare: number;
  tieBreak: number;
}

/** Scores a machine for a request. */
export function scoreCandidate(
  spec: JobSpec,
  candidate: Candidate,
  settings: OperatorSettings,
  steer: (candidate: Candidate) => number,
): ScoredCandidate {
  return {
    candidate,
    cost: placementCost(spec, candidate, settings),
    freeShare: freeShare(candidate),
    tieBreak: steer(candidate),
  };
}

/**
 * Algorithm 2: among the candidates within λ of the best Ω, the largest smaller free share. `steer` (ours) narrows the
 * band first: those with the smallest value stay.
 */
export function pickBest(
  rows: readonly ScoredCandidate[],
  settings: OperatorSettings,
): ScoredCandidate | null {
  let best = Infinity;
  for (const row of rows) if (row.cost < best) best = row.cost;
  const band = best + settings.lambda;
  let chosen: ScoredCandidate | null = null;
  for (const row of rows) {
    if (row.cost > band) continue;
    if (chosen === null || row.tieBreak < chosen.tieBreak) {
      chosen = row;
      continue;
    }
    // Equal shares go by name, so that the same picture always gives the same place.
    if (
      row.tieBreak === chosen.tieBreak &&
      (row.freeShare > chosen.freeShare + EPSILON ||
        (Math.abs(row.freeShare - chosen.freeShare) <= EPSILON &&
          row.candidate.machine.name < chosen.candidate.machine.name))
    )
      chosen = row;
  }
  return chosen;
}

/** What a job asks of a machine. */
export type ResourceShape = Pick<JobSpec, 'cpus' | 'gpus' | 'memory' | 'machineTypes' | 'zone' | 'allowSpot'>;

/** Whether whatever has no room for `b` surely has none for `a` either. */
export function needsAtLeast(a: ResourceShape, b: ResourceShape): boolean {
  if (a.cpus < b.cpus || a.gpus < b.gpus || a.memory < b.memory) return false;
  if (a.allowSpot && !b.allowSpot) return false;
  if (b.zone !== null && a.zone !== b.zone) return false;
  return (
    b.machineTypes === null ||
    (a.machineTypes !== null && a.machineTypes.every((t) => b.machineTypes?.includes(t) === true))
  );
}

/** Zones in which another task of the job may start, given where its tasks may be now. */
export function isZoneAllowed(job: Job, zone: string, taken: ReadonlyMap<string, number>): boolean {
  const spec = job.spec;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.singleZone) for (const [z, n] of taken) if (n > 0 && z !== zone) return false;
  if (spec.spreadAcrossZones && (taken.get(zone) ?? 0) + 1 > Math.ceil(spec.taskCount / 2)) return false;
  return true;
}

/** What the job's own words say about a machine, whatever is free on it. */
export function isMachineAllowed(spec: JobSpec, machine: Machine): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(machine.type)) return false;
  if (machine.spot && !spec.allowSpot) return false;
  return spec.zone === null || spec.zone === machine.zone;
}
