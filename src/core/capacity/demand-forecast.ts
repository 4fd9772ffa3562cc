/**
 * @file Forecasts the work that arrives and finishes while a machine boots. If machines were requested only for pending
 * work, all work that arrives in the meantime would wait for a whole boot too, however steadily it arrives.
 */
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { toSeconds, wallSecondsBetween, type Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { taskShare } from './utilization.js';

/** A forecast of demand, measured in machines. */
export interface DemandForecast {
  /** Work expected to arrive until a machine requested now has booted. */
  readonly arriving: number;
  /** Running work expected to finish by then. */
  readonly finishing: number;
  /**
   * The most recently submitted of the uncancelled jobs that became ready in the counted periods, or null if there is
   * none. Machines are requested in advance as if for tasks of this job.
   */
  readonly sampleJob: Job | null;
}

/** Length in seconds of the periods in which arrivals are counted. */
const PERIOD_S = 5;

/** Number of past periods in which arrivals are counted. */
const PERIODS = 12;

/** If fewer periods than this have passed since the earliest arrival, the arrival rate is taken as 0. */
const MIN_PERIODS = 6;

/** Number of periods with the most arrivals that are left out. */
const EXCLUDED_PERIODS = 2;

/**
 * Forecasts demand. The arrival rate is derived from the times at which jobs became ready: for a job without
 * dependencies the time of its submission, because a new leader has this as well. The periods with the most arrivals
 * are left out, because jobs that arrive all at once, as at the start of a day, say nothing about what arrives next.
 */
export function forecastDemand(state: ClusterState, now: Timestamp): DemandForecast {
  const bootS = longestBootSeconds(state);
  const arrivals = new Array<number>(PERIODS).fill(0);
  let earliestAgeS = 0;
  let sampleJob: Job | null = null;
  let finishing = 0;
  for (const job of state.jobs.byId.values()) {
    // A job that waits for its dependencies needs no capacity yet.
    if (job.spec.kind === 'service' || job.readySince === null) continue;
    const ageS = Math.max(0, wallSecondsBetween(job.readySince, now.wall));
    earliestAgeS = Math.max(earliestAgeS, ageS);
    const type = firstAllowedType(state, job);
    if (type === undefined) continue;
    const share = taskShare(job.spec, type);
    const period = Math.floor(ageS / PERIOD_S);
    if (period < PERIODS) {
      arrivals[period] = (arrivals[period] ?? 0) + share * job.spec.taskCount;
      if (job.status !== 'cancelled' && (sampleJob === null || job.submittedAt > sampleJob.submittedAt))
        sampleJob = job;
    }
    if (job.assignedCount > 0) finishing += share * countFinishingWithin(state, job, bootS, now);
  }
  const periods = Math.min(PERIODS, Math.floor(earliestAgeS / PERIOD_S) + 1);
  return { arriving: arrivalRate(arrivals.slice(0, periods)) * bootS, finishing, sampleJob };
}

/** Returns the work that arrives per second, measured in machines. */
function arrivalRate(arrivals: readonly number[]): number {
  if (arrivals.length < MIN_PERIODS) return 0;
  const counted = [...arrivals].sort((a, b) => b - a).slice(EXCLUDED_PERIODS);
  return counted.reduce((sum, arrived) => sum + arrived, 0) / counted.length / PERIOD_S;
}

function longestBootSeconds(state: ClusterState): number {
  let longest = 0;
  for (const type of state.machines.types.values()) longest = Math.max(longest, toSeconds(type.bootTime));
  return longest;
}

function firstAllowedType(state: ClusterState, job: Job): MachineType | undefined {
  for (const type of state.machines.types.values())
    if (job.spec.machineTypes === null || job.spec.machineTypes.includes(type.name)) return type;
  return undefined;
}

/** Returns how many of the job's running tasks should finish within `withinS` seconds. */
function countFinishingWithin(state: ClusterState, job: Job, withinS: number, now: Timestamp): number {
  const estimateS = estimatedSeconds(state, job);
  let count = 0;
  for (const chunk of job.assignedChunks)
    for (const { runningSince } of chunk.assignments.values())
      if (runningSince !== null && estimateS - toSeconds(now.monotonic - runningSince) < withinS) count += 1;
  return count;
}
