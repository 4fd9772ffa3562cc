import type { Job, OperatorSettings, Machine, MachineType, Spec } from './model.js';
import { toSeconds } from './time.js';

/**
 * The design's core: filter by request, score by weighted delays plus contention, pick the largest smaller free
 * share within the band. The names are the paper's: r (free resources), c (request), ζ (tasks held), Ω, Γ, λ.
 */
export interface Free {
  cpus: number;
  gpus: number;
  memory: number;
}

/** A machine that may take tasks, as one pass sees it. */
export interface Candidate {
  readonly machine: Machine;
  readonly type: MachineType;
  /** r_i: what no intent and no reported task takes. */
  readonly r: Free;
  /** r_i and what is being stopped, less what is promised to work of a higher level. */
  readonly room: Free;
  /** ζ_i: tasks held. */
  zeta: number;
  /** Images being fetched there, by name, with the gigabytes that are at least still to come. */
  readonly pulls: Map<string, number>;
}

const EPSILON = 1e-6;

/** Whether a request fits into what is free. */
export function fitsIn(spec: Spec, r: Free): boolean {
  return spec.cpus <= r.cpus + EPSILON && spec.gpus <= r.gpus + EPSILON && spec.memory <= r.memory + EPSILON;
}

/** Ã, eq. (9), with twice the request as the limit. */
export function grantedCpu(c: number, r: number, phi: number): number {
  return Math.max(c, Math.min(phi * r, 2 * c));
}

/** Γ, eq. (18): nothing on an empty machine, doubling with each task held. */
export function contention(zeta: number, settings: OperatorSettings): number {
  return zeta > 0 ? settings.betaCs + 2 ** (zeta - 1) * settings.betaRc : 0;
}

/**
 * Seconds until the image is there: none for a cached one. Images fetched at the same time share the machine's
 * bandwidth (ours; the paper's network delay takes the bandwidth that is free), and one that is under way already has
 * only its rest to come.
 */
export function imageDelay(spec: Spec, cand: Candidate, settings: OperatorSettings): number {
  if (cand.machine.images.has(spec.image)) return 0;
  const bandwidth = Math.max(settings.bandwidth ?? cand.type.fetchGbPerS, EPSILON);
  const rest = cand.pulls.get(spec.image);
  const sharers = cand.pulls.size + (rest === undefined ? 1 : 0);
  return ((rest ?? spec.imageGb) * sharers) / bandwidth;
}

/** Ω in seconds for running `c` on the candidate. */
export function omega(spec: Spec, cand: Candidate, settings: OperatorSettings): number {
  const granted = grantedCpu(spec.cpus, cand.r.cpus, settings.phi);
  const processing =
    granted > 0 ? (toSeconds(spec.estimate) * spec.cpus) / granted : toSeconds(spec.estimate);
  const network = imageDelay(spec, cand, settings);
  return settings.alpha * processing + (1 - settings.alpha) * network + contention(cand.zeta, settings);
}

const share = (part: number, whole: number): number => (whole > 0 ? part / whole : 1);

/** The smaller of the free CPU and free memory shares. */
export function freeShare(cand: Candidate): number {
  return Math.min(share(cand.r.cpus, cand.type.cpus), share(cand.r.memory, cand.type.memory));
}

/** A candidate with what decides between it and the others. It is counted anew only when something is placed there. */
export interface Scored {
  readonly cand: Candidate;
  omega: number;
  share: number;
  steer: number;
}

/** Scores a machine for a request. */
export function score(
  spec: Spec,
  cand: Candidate,
  settings: OperatorSettings,
  steer: (cand: Candidate) => number,
): Scored {
  return { cand, omega: omega(spec, cand, settings), share: freeShare(cand), steer: steer(cand) };
}

/**
 * Algorithm 2: among the candidates within λ of the best Ω, the largest smaller free share. `steer` (ours) narrows the
 * band first: those with the smallest value stay.
 */
export function pick(rows: readonly Scored[], settings: OperatorSettings): Scored | null {
  let best = Infinity;
  for (const row of rows) if (row.omega < best) best = row.omega;
  const band = best + settings.lambda;
  let chosen: Scored | null = null;
  for (const row of rows) {
    if (row.omega > band) continue;
    if (chosen === null || row.steer < chosen.steer) {
      chosen = row;
      continue;
    }
    // Equal shares go by name, so that the same picture always gives the same place.
    if (
      row.steer === chosen.steer &&
      (row.share > chosen.share + EPSILON ||
        (Math.abs(row.share - chosen.share) <= EPSILON && row.cand.machine.name < chosen.cand.machine.name))
    )
      chosen = row;
  }
  return chosen;
}

/** What a job asks of a machine. */
export type Shape = Pick<Spec, 'cpus' | 'gpus' | 'memory' | 'types' | 'zone' | 'spot'>;

/** Whether whatever has no room for `b` surely has none for `a` either. */
export function asksAtLeast(a: Shape, b: Shape): boolean {
  if (a.cpus < b.cpus || a.gpus < b.gpus || a.memory < b.memory) return false;
  if (a.spot && !b.spot) return false;
  if (b.zone !== null && a.zone !== b.zone) return false;
  return b.types === null || (a.types !== null && a.types.every((t) => b.types?.includes(t) === true));
}

/** Zones in which another task of the job may start, given where its tasks may be now. */
export function zoneAllowed(job: Job, zone: string, taken: ReadonlyMap<string, number>): boolean {
  const spec = job.spec;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.oneZone) for (const [z, n] of taken) if (n > 0 && z !== zone) return false;
  if (spec.spread && (taken.get(zone) ?? 0) + 1 > Math.ceil(spec.tasks / 2)) return false;
  return true;
}

/** What the job's own words say about a machine, whatever is free on it. */
export function machineAllowed(spec: Spec, machine: Machine): boolean {
  if (spec.types !== null && !spec.types.includes(machine.type)) return false;
  if (machine.spot && !spec.spot) return false;
  return spec.zone === null || spec.zone === machine.zone;
}
