/**
 * @file The cost model and the choice among machines, from "Delay-Aware Container Scheduling in Kubernetes" (*the paper*;
 * docs/design.md says what was kept and what was changed). Filter by request, score by weighted delays plus contention,
 * pick the largest smaller free share within the band. This is the only file that uses the paper's symbols:
 *
 * | symbol | paper | here |
 * | --- | --- | --- |
 * | r_i | free resources of machine i | `Candidate.free` |
 * | c_j | the request of task j | `cpus`, `memory` and `gpus` of the job's specification |
 * | ζ_i (zeta) | tasks held by machine i | `Candidate.taskCount` |
 * | Ã | eq. (9) | `grantedCpu` |
 * | t^IM | eq. (10) | `imageFetchDelay` |
 * | Γ (gamma) | eq. (18) | `contentionCost` |
 * | Ω (omega) | eq. (3), Algorithm 2 | `placementCost` |
 * | α (alpha) | weight of the processing delay against the network delay | `settings.alpha` |
 * | φ (phi) | share of the free CPU that a task may be granted beyond its request | `settings.phi` |
 * | λ (lambda) | seconds: machines this close to the best cost count as equal | `settings.lambda` |
 * | βCS, βRC | seconds of contention: of any task held, and doubling with each | `settings.betaCs`, `settings.betaRc` |
 *
 * Everything here is pure. Scores are updated in place: a cycle computes hundreds of thousands of them.
 */
import type { JobSpec } from '../model/job.js';
import type { OperatorSettings } from '../model/operator-settings.js';
import { toSeconds } from '../model/time.js';
import type { Candidate } from './candidates.js';

/** Shares and bandwidths that differ by less than this count as equal. */
const EPSILON = 1e-6;

/** CPUs that a task is granted, eq. (9), with twice the request as the limit. */
export function grantedCpu(requestedCpus: number, freeCpus: number, grantableShare: number): number {
  return Math.max(requestedCpus, Math.min(grantableShare * freeCpus, 2 * requestedCpus));
}

/** Seconds lost by contention, eq. (18): nothing on an empty machine, doubling with each task held. */
export function contentionCost(taskCount: number, settings: OperatorSettings): number {
  return taskCount > 0 ? settings.betaCs + 2 ** (taskCount - 1) * settings.betaRc : 0;
}

/** Seconds that the task should run there, eq. (8) with the run-time estimate instead of a data volume. */
function processingDelay(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  const estimate = toSeconds(spec.estimatedDuration);
  const granted = grantedCpu(spec.cpus, candidate.free.cpus, settings.phi);
  return granted > 0 ? (estimate * spec.cpus) / granted : estimate;
}

/**
 * Seconds until the image is there: none for a cached one. Images fetched at the same time share the machine's
 * bandwidth (ours; the paper's network delay, eq. (10), takes the bandwidth that is free), and one that is under way
 * already has only its rest to come.
 */
export function imageFetchDelay(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  if (candidate.machine.cachedImages.has(spec.image)) return 0;
  const bandwidth = Math.max(settings.bandwidth ?? candidate.type.fetchGbPerS, EPSILON);
  const remainingGb = candidate.imageFetches.get(spec.image);
  const concurrentFetches = candidate.imageFetches.size + (remainingGb === undefined ? 1 : 0);
  return ((remainingGb ?? spec.imageGb) * concurrentFetches) / bandwidth;
}

/** Seconds that running a task of the job on the candidate costs: Ω of eq. (3) and Algorithm 2. */
function placementCost(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  return (
    settings.alpha * processingDelay(spec, candidate, settings) +
    (1 - settings.alpha) * imageFetchDelay(spec, candidate, settings) +
    contentionCost(candidate.taskCount, settings)
  );
}

const share = (part: number, whole: number): number => (whole > 0 ? part / whole : 1);

/** The smaller of the free CPU and free memory shares, eq. (17) with shares instead of raw amounts. */
function freeShare(candidate: Candidate): number {
  return Math.min(
    share(candidate.free.cpus, candidate.type.cpus),
    share(candidate.free.memory, candidate.type.memory),
  );
}

/** Ranks machines that cost about the same for a job; the smallest value wins. */
export type TieBreaker = (candidate: Candidate) => number;

/** A candidate with what decides between it and the others. It is scored again only when a task is reserved there. */
export interface ScoredCandidate {
  readonly candidate: Candidate;
  cost: number;
  freeShare: number;
  tieBreak: number;
}

/** Scores a machine for a task of the job. */
export function scoreCandidate(
  spec: JobSpec,
  candidate: Candidate,
  settings: OperatorSettings,
  tieBreaker: TieBreaker,
): ScoredCandidate {
  return {
    candidate,
    cost: placementCost(spec, candidate, settings),
    freeShare: freeShare(candidate),
    tieBreak: tieBreaker(candidate),
  };
}

/** Scores a machine again, in place, after a task was reserved there. */
export function updateScore(
  scored: ScoredCandidate,
  spec: JobSpec,
  settings: OperatorSettings,
  tieBreaker: TieBreaker,
): void {
  scored.cost = placementCost(spec, scored.candidate, settings);
  scored.freeShare = freeShare(scored.candidate);
  scored.tieBreak = tieBreaker(scored.candidate);
}

/**
 * Algorithm 2: among the candidates within λ of the best Ω, the largest smaller free share. The tie-breaker (ours)
 * narrows that band first: those with its smallest value stay.
 */
export function pickBest(
  scored: readonly ScoredCandidate[],
  settings: OperatorSettings,
): ScoredCandidate | null {
  let lowestCost = Infinity;
  for (const { cost } of scored) if (cost < lowestCost) lowestCost = cost;
  const highestCost = lowestCost + settings.lambda;
  let best: ScoredCandidate | null = null;
  for (const option of scored)
    if (option.cost <= highestCost && (best === null || isBetter(option, best))) best = option;
  return best;
}

/** Equal shares go by name, so that the same state always gives the same assignment. */
function isBetter(option: ScoredCandidate, best: ScoredCandidate): boolean {
  if (option.tieBreak !== best.tieBreak) return option.tieBreak < best.tieBreak;
  return (
    option.freeShare > best.freeShare + EPSILON ||
    (Math.abs(option.freeShare - best.freeShare) <= EPSILON &&
      option.candidate.machine.name < best.candidate.machine.name)
  );
}
