/**
 * @file Quarantines machines on which tasks of different jobs fail, and lifts a quarantine whose cause turns out to be
 * the jobs. It owns `Machine.failuresByJob` and `Machine.quarantined`.
 */
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';

/** A job that fails on more machines than this is considered to be at fault itself. */
const MANY_MACHINES_THRESHOLD = 2;

/** Whether the job fails on so many machines that it is considered to be at fault itself. */
export const failsOnManyMachines = (job: Job): boolean =>
  job.failuresByMachine.size > MANY_MACHINES_THRESHOLD;

/** Records that a task of the job failed on the machine, and quarantines the machine if it is likely to be faulty. */
export function recordFailure(state: ClusterState, machine: Machine, job: Job, now: MonotonicTime): void {
  machine.failuresByJob.set(job.spec.id, now);
  if (machine.quarantined) return;
  const failedJobs = jobsAgainst(state, machine);
  if (failedJobs.length < state.settings.quarantineThreshold) return;
  machine.quarantined = true;
  emitLog(state, 'machine quarantined', { machine: machine.name, failedJobs }, 'info');
}

/** Lifts each quarantine for which too few failures remain that are not the fault of their jobs. */
export function liftUnfoundedQuarantines(state: ClusterState): void {
  for (const machine of state.machines.byName.values()) {
    if (machine.failuresByJob.size === 0) continue;
    dropFailuresOfCancelledJobs(state, machine);
    if (!machine.quarantined || jobsAgainst(state, machine).length >= state.settings.quarantineThreshold)
      continue;
    machine.quarantined = false;
    state.scheduling.cycleNeeded = true;
    emitLog(state, 'quarantine lifted', { machine: machine.name }, 'info');
  }
}

/** Returns the ids of the jobs whose failures indicate that the machine is faulty. */
const jobsAgainst = (state: ClusterState, machine: Machine): string[] =>
  [...machine.failuresByJob.keys()].filter((id) => {
    const job = state.jobs.byId.get(id);
    return job === undefined || !isLikelyAtFault(job);
  });

/** Forgets failures that prove nothing before their jobs leave the memory, after which nothing is known of them. */
function dropFailuresOfCancelledJobs(state: ClusterState, machine: Machine): void {
  for (const id of machine.failuresByJob.keys()) {
    const job = state.jobs.byId.get(id);
    if (job !== undefined && isCancelledWithoutResult(job)) machine.failuresByJob.delete(id);
  }
}

const isLikelyAtFault = (job: Job): boolean => failsOnManyMachines(job) || isCancelledWithoutResult(job);

/** A job that was submitted with a mistake fails everywhere until its user cancels it. */
const isCancelledWithoutResult = (job: Job): boolean =>
  job.status === 'cancelled' && job.completedTasks.size === 0;
