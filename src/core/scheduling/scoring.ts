/**
 * @file The cost model and the choice among machines, from "Delay-Aware Container Scheduling in Kubernetes" (*the paper*;
 * docs/design.md lists what was kept and what was changed). Machines are filtered by the task's request and scored by
 * weighted delays plus contention. Among those within the band above the lowest cost, the one with the largest free
 * share is picked, where the free share is the smaller of the CPU and memory shares. This is the only file that uses
 * the paper's symbols:
 *
 * | symbol | paper | here |
 * | --- | --- | --- |
 * | r_i | free resources of machine i | `Candidate.free` |
 * | c_j | the request of task j | `cpus`, `memory` and `gpus` of the job's specification |
 * | ζ_i (zeta) | number of tasks on machine i | `Candidate.taskCount` |
 * | Ã | eq. (9) | `grantedCpu` |
 * | t^IM | eq. (10) | `imageFetchDelay` |
 * | Γ (gamma) | eq. (18) | `contentionCost` |
 * | Ω (omega) | eq. (3), Algorithm 2 | `placementCost` |
 * | α (alpha) | weight of the processing delay against the network delay | `settings.alpha` |
 * | φ (phi) | share of the free CPU up to which a task may be granted more than its request | `settings.phi` |
 * | λ (lambda) | seconds: costs at most this far above the lowest count as equal | `settings.lambda` |
 * | βCS, βRC | seconds of contention: fixed for any task, and doubling with each task | `settings.betaCs`, `settings.betaRc` |
 *
 * All functions are pure except `updateScore`, which works in place because a cycle computes hundreds of thousands of
 * scores.
 */
import type { JobSpec } from '../model/job.js';
import type { OperatorSettings } from '../model/operator-settings.js';
import { toSeconds } from '../model/time.js';
import type { Candidate } from './candidates.js';

/** Free shares that differ by at most this count as equal. Also the lower bound on the fetch bandwidth, in GB/s. */
const EPSILON = 1e-6;

/** Returns the CPUs that a task is granted, eq. (9): at least its request and at most twice its request. */
export function grantedCpu(requestedCpus: number, freeCpus: number, grantableShare: number): number {
  return Math.max(requestedCpus, Math.min(grantableShare * freeCpus, 2 * requestedCpus));
}

/** Returns the seconds lost to contention, eq. (18): 0 on an empty machine; one part doubles with each task. */
export function contentionCost(taskCount: number, settings: OperatorSettings): number {
  return taskCount > 0 ? settings.betaCs + 2 ** (taskCount - 1) * settings.betaRc : 0;
}

/** Returns the expected run time in seconds, eq. (8) with the run-time estimate instead of a data volume. */
function processingDelay(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  const estimate = toSeconds(spec.estimatedDuration);
  const granted = grantedCpu(spec.cpus, candidate.free.cpus, settings.phi);
  return granted > 0 ? (estimate * spec.cpus) / granted : estimate;
}

/**
 * Returns the seconds until the machine has the image, 0 if it is cached. Images that are fetched at the same time
 * share the machine's bandwidth; the paper's network delay, eq. (10), uses the free bandwidth instead. For an image
 * that is being fetched already, only the remaining gigabytes count.
 */
export function imageFetchDelay(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  if (candidate.machine.cachedImages.has(spec.image)) return 0;
  const bandwidth = Math.max(settings.bandwidth ?? candidate.type.fetchGbPerS, EPSILON);
  const remainingGb = candidate.imageFetches.get(spec.image);
  const concurrentFetches = candidate.imageFetches.size + (remainingGb === undefined ? 1 : 0);
  return ((remainingGb ?? spec.imageGb) * concurrentFetches) / bandwidth;
}

/** Returns the cost in seconds of running a task of the job on the candidate, eq. (3) and Algorithm 2. */
function placementCost(spec: JobSpec, candidate: Candidate, settings: OperatorSettings): number {
  return (
    settings.alpha * processingDelay(spec, candidate, settings) +
    (1 - settings.alpha) * imageFetchDelay(spec, candidate, settings) +
    contentionCost(candidate.taskCount, settings)
  );
}

const share = (part: number, whole: number): number => (whole > 0 ? part / whole : 1);

/** Returns the smaller of the free CPU and free memory shares, eq. (17) with shares instead of raw amounts. */
function freeShare(candidate: Candidate): number {
  return Math.min(
    share(candidate.free.cpus, candidate.type.cpus),
    share(candidate.free.memory, candidate.type.memory),
  );
}

/** Ranks machines that cost about the same for a job; the smallest value wins. */
export type TieBreaker = (candidate: Candidate) => number;

/** A candidate and the values by which it is compared, recomputed only after a task was reserved on it. */
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

/** Recomputes the score of a machine in place after a task was reserved on it. */
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
 * Algorithm 2: returns the candidate with the largest free share among those whose cost is at most `settings.lambda`
 * above the lowest, or null if there are no candidates. The tie-breaker, which the paper does not have, narrows that
 * band first: only candidates with its smallest value are compared by free share.
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

/** Equal shares are ordered by machine name, so that the same state always gives the same assignment. */
function isBetter(option: ScoredCandidate, best: ScoredCandidate): boolean {
  if (option.tieBreak !== best.tieBreak) return option.tieBreak < best.tieBreak;
  return (
    option.freeShare > best.freeShare + EPSILON ||
    (Math.abs(option.freeShare - best.freeShare) <= EPSILON &&
      option.candidate.machine.name < best.candidate.machine.name)
  );
}
