import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import { toSeconds, wallSecondsBetween, type Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/**
 * What work will come and end while a machine boots. Renting only for what waits already makes all that comes in the
 * meantime wait for a whole boot too, however steadily it comes.
 */
export interface DemandForecast {
  /** Machines' worth of work that comes and that ends until a machine rented now is up. */
  readonly arriving: number;
  readonly finishing: number;
  /** The job that came last: what is rented ahead is rented as if for it. */
  readonly sampleJob: Job | null;
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
  for (const type of state.machines.types.values())
    if (job.spec.machineTypes === null || job.spec.machineTypes.includes(type.name)) return type;
  return undefined;
};

/**
 * The rate is counted from the times of submission, which a new owner knows as well. The fullest bins are left out:
 * what comes all at once, as when a day begins, tells nothing of what comes next.
 */
export function forecastDemand(state: ClusterState, now: Timestamp): DemandForecast {
  let boot = 0;
  for (const type of state.machines.types.values()) boot = Math.max(boot, toSeconds(type.bootTime));
  const bins = new Array<number>(BINS).fill(0);
  let earliest = 0;
  let sample: Job | null = null;
  let ends = 0;
  for (const job of state.jobs.byId.values()) {
    if (job.spec.kind === 'service') continue;
    // What waits for other jobs asks for nothing yet.
    if (job.readySince === null) continue;
    const age = Math.max(0, wallSecondsBetween(job.readySince, now.wall));
    earliest = Math.max(earliest, age);
    const type = typeFor(state, job);
    if (type === undefined) continue;
    const share = shareOf(job, type);
    const bin = Math.floor(age / BIN_S);
    if (bin < BINS) {
      bins[bin] = (bins[bin] ?? 0) + share * job.spec.taskCount;
      if (job.status !== 'cancelled' && (sample === null || job.submittedAt > sample.submittedAt))
        sample = job;
    }
    if (job.assignedCount > 0) ends += share * endingIn(state, job, boot, now);
  }
  const seen = Math.min(BINS, Math.floor(earliest / BIN_S) + 1);
  if (seen < LEAST_BINS) return { arriving: 0, finishing: ends, sampleJob: sample };
  const counted = bins.slice(0, seen).sort((a, b) => b - a);
  const rest = counted.slice(LEFT_OUT).reduce((a, b) => a + b, 0);
  return { arriving: (rest / (seen - LEFT_OUT) / BIN_S) * boot, finishing: ends, sampleJob: sample };
}

/** How many of the job's placed tasks should end within so many seconds. */
function endingIn(state: ClusterState, job: Job, within: number, now: Timestamp): number {
  const estimate = estimatedSeconds(state, job);
  let n = 0;
  for (const chunk of job.chunks.values())
    for (const assignment of chunk.assignments.values())
      if (
        assignment.runningSince !== null &&
        estimate - toSeconds(now.monotonic - assignment.runningSince) < within
      )
        n += 1;
  return n;
}
