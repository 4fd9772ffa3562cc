/**
 * @file The leader's table of jobs: which are active, pending or finished, and what they wait for. It owns the sets of
 * jobs; it must never access records or machines.
 */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Job, JobStatus } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import { DependencyGraph } from './dependency-graph.js';
import { TeamQuotas } from './team-quotas.js';

/** All jobs of the partition, grouped by status. */
export interface JobTable {
  readonly byId: Map<string, Job>;
  /** Jobs that are neither done nor cancelled and whose dependencies are done. */
  readonly active: Set<string>;
  /** Active jobs that have tasks without an assignment. */
  readonly pending: Set<string>;
  /** Jobs that are done or cancelled, in the order in which the leader recorded this, with the time. */
  readonly finished: Map<string, MonotonicTime>;
  readonly dependencies: DependencyGraph;
  /** Deadlines of unfinished jobs that were not logged as missed yet, in seconds of wall time. */
  readonly deadlines: Map<string, number>;
  readonly quotas: TeamQuotas;
  /** Number of assignments of all jobs. */
  assignmentCount: number;
  /** Correction factor for the submitted duration estimate, by job class, learned from completed tasks. */
  readonly durationFactors: Map<string, number>;
  /** True if the set of active jobs has changed since fair shares were last updated. */
  fairSharesStale: boolean;
}

/** Returns an empty table. */
export const newJobTable = (config: ClusterConfig): JobTable => ({
  byId: new Map(),
  active: new Set(),
  pending: new Set(),
  finished: new Map(),
  dependencies: new DependencyGraph(),
  deadlines: new Map(),
  quotas: new TeamQuotas(config.teams),
  assignmentCount: 0,
  durationFactors: new Map(),
  fairSharesStale: true,
});

/** Makes a job available for scheduling. `since` is when the last of its dependencies was done. */
export function markJobReady(jobs: JobTable, job: Job, since: Date): void {
  const { id } = job.spec;
  job.readySince = since;
  jobs.active.add(id);
  if (job.unassignedTasks.size > 0) jobs.pending.add(id);
  jobs.fairSharesStale = true;
}

/**
 * Removes a job from all queues, so that it is no longer scheduled. `status` is the recorded status. The remaining
 * assignments of the job are not changed.
 */
export function markJobFinished(jobs: JobTable, job: Job, status: JobStatus, now: MonotonicTime): void {
  const { id } = job.spec;
  job.status = status;
  job.unassignedTasks.clear();
  jobs.active.delete(id);
  jobs.pending.delete(id);
  jobs.finished.set(id, now);
  jobs.fairSharesStale = true;
}

/** Removes a task that needs no assignment, because it has one or has its result. */
export function removeUnassignedTask(jobs: JobTable, job: Job, taskIndex: number): void {
  job.unassignedTasks.delete(taskIndex);
  if (job.unassignedTasks.size === 0) jobs.pending.delete(job.spec.id);
}

/** Adds a task that lost its assignment without a result; its job becomes pending again. */
export function addUnassignedTask(jobs: JobTable, job: Job, taskIndex: number): void {
  job.unassignedTasks.add(taskIndex);
  jobs.pending.add(job.spec.id);
}
