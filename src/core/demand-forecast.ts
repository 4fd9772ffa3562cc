import type { Job, MachineType } from './model.js';
import { estimateOf } from './urgency.js';
import { toSeconds, wallSeconds, type Now } from './time.js';
import type { ClusterState } from './cluster-state.js';

/**
 * What work will come and end while a machine boots. Renting only for what waits already makes all that comes in the
 * meantime wait for a whole boot too, however steadily it comes.
 */
export interface DemandForecast {
  /** Machines' worth of work that comes and that ends until a machine rented now is up. */
  readonly comes: number;
  readonly ends: number;
  /** The job that came last: what is rented ahead is rented as if for it. */
  readonly sample: Job | null;
}

const BIN_S = 5;
const BINS = 12;
/** With fewer bins nothing can be said of a rate. */
const LEAST_BINS = 6;
/** The fullest bins, which are left out. */
const LEFT_OUT = 2;

/** The share of a machine that one task takes. */
function shareOf(job: Job, type: MachineType): number {
  const { cpus, gpus, memory } = job.spec;
  return Math.max(cpus / type.cpus, type.gpus > 0 ? gpus / type.gpus : 0, memory / type.memory);
}

const typeFor = (state: ClusterState, job: Job): MachineType | undefined => {
  for (const type of state.types.values())
    if (job.spec.types === null || job.spec.types.includes(type.name)) return type;
  return undefined;
};

/**
 * The rate is counted from the times of submission, which a new owner knows as well. The fullest bins are left out:
 * what comes all at once, as when a day begins, tells nothing of what comes next.
 */
export function forecastDemand(state: ClusterState, now: Now): DemandForecast {
  let boot = 0;
  for (const type of state.types.values()) boot = Math.max(boot, toSeconds(type.boot));
  const bins = new Array<number>(BINS).fill(0);
  let earliest = 0;
  let sample: Job | null = null;
  let ends = 0;
  for (const job of state.jobs.values()) {
    if (job.spec.kind === 'service') continue;
    // What waits for other jobs asks for nothing yet.
    if (job.since === null) continue;
    const age = Math.max(0, wallSeconds(job.since, now.wall));
    earliest = Math.max(earliest, age);
    const type = typeFor(state, job);
    if (type === undefined) continue;
    const share = shareOf(job, type);
    const bin = Math.floor(age / BIN_S);
    if (bin < BINS) {
      bins[bin] = (bins[bin] ?? 0) + share * job.spec.tasks;
      if (job.standing !== 'cancelled' && (sample === null || job.submitted > sample.submitted)) sample = job;
    }
    if (job.placedCount > 0) ends += share * endingIn(state, job, boot, now);
  }
  const seen = Math.min(BINS, Math.floor(earliest / BIN_S) + 1);
  if (seen < LEAST_BINS) return { comes: 0, ends, sample };
  const counted = bins.slice(0, seen).sort((a, b) => b - a);
  const rest = counted.slice(LEFT_OUT).reduce((a, b) => a + b, 0);
  return { comes: (rest / (seen - LEFT_OUT) / BIN_S) * boot, ends, sample };
}

/** How many of the job's placed tasks should end within so many seconds. */
function endingIn(state: ClusterState, job: Job, within: number, now: Now): number {
  const estimate = estimateOf(state, job);
  let n = 0;
  for (const chunk of job.chunks.values())
    for (const intent of chunk.intents.values())
      if (intent.runningSince !== null && estimate - toSeconds(now.steady - intent.runningSince) < within)
        n += 1;
  return n;
}
