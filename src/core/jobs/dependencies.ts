/** @file Adds jobs and their final statuses to the dependency graph, and makes dependents ready or cancels them. */
import type { Job } from '../model/job.js';
import { NOT_CONSIDERED_YET, WAITING_FOR_DEPENDENCIES } from '../model/pending-reasons.js';
import type { Timestamp } from '../model/time.js';
import { releaseFinishedChunks } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { GraphChange } from '../state/dependency-graph.js';
import { markJobFinished, markJobReady } from '../state/job-table.js';
import { emitLog } from '../state/log-effects.js';
import { propagateUrgency, ownDeadline, removeInheritedUrgency } from './urgency.js';

/** Registers an unfinished job. It becomes ready at once, or when its last dependency is committed as done. */
export function registerJob(state: ClusterState, job: Job, now: Timestamp): void {
  const { id, deadline, dependencies } = job.spec;
  if (deadline !== null) state.jobs.deadlines.set(id, ownDeadline(job));
  propagateUrgency(state, job);
  if (dependencies.length === 0) return makeReady(state, job, job.submittedAt);
  job.readySince = null;
  job.pendingReason = WAITING_FOR_DEPENDENCIES;
  applyGraphChange(state, state.jobs.dependencies.add(id, dependencies), now);
}

/** Handles the committed end of a job. */
export function onJobFinished(
  state: ClusterState,
  id: string,
  status: 'done' | 'cancelled',
  now: Timestamp,
): void {
  state.jobs.deadlines.delete(id);
  const job = state.jobs.byId.get(id);
  applyGraphChange(state, state.jobs.dependencies.markFinished(id, status), now);
  if (status === 'cancelled' && job !== undefined) removeInheritedUrgency(state, job);
}

function applyGraphChange(state: ClusterState, change: GraphChange, now: Timestamp): void {
  for (const id of change.ready) {
    const job = state.jobs.byId.get(id);
    if (job !== undefined && job.status === 'open') makeReady(state, job, now.wall);
  }
  for (const id of change.cancelled) cancelDependent(state, id, now);
}

function makeReady(state: ClusterState, job: Job, since: Date): void {
  markJobReady(state.jobs, job, since);
  job.pendingReason = NOT_CONSIDERED_YET;
  state.scheduling.cycleNeeded = true;
}

/**
 * Cancels a job that can never run because one of its dependencies was cancelled. The dependency's record alone implies
 * this; the job's own record is written later, so that the dependency's record need not be kept forever.
 */
function cancelDependent(state: ClusterState, id: string, now: Timestamp): void {
  const job = state.jobs.byId.get(id);
  state.jobs.deadlines.delete(id);
  if (job === undefined || job.status !== 'open') return;
  markJobFinished(state.jobs, job, 'cancelled', now.monotonic);
  state.records.unrecordedCancellations.add(id);
  releaseFinishedChunks(job);
  emitLog(state, 'job cancelled: a dependency was cancelled', { job: id }, 'info');
  removeInheritedUrgency(state, job);
}

/** Logs each unfinished job once after its deadline has passed, with its pending reason if it is pending. */
export function logMissedDeadlines(state: ClusterState, now: Timestamp): void {
  const nowSeconds = now.wall.getTime() / 1000;
  for (const [id, deadline] of state.jobs.deadlines) {
    if (nowSeconds <= deadline) continue;
    state.jobs.deadlines.delete(id);
    const job = state.jobs.byId.get(id);
    if (job !== undefined) logMissedDeadline(state, job);
  }
}

function logMissedDeadline(state: ClusterState, job: Job): void {
  const { spec } = job;
  const isPending = job.status === 'open' && job.assignedCount === 0;
  emitLog(
    state,
    'deadline missed',
    {
      job: spec.id,
      class: spec.class,
      tasks: spec.taskCount,
      done: job.completedTasks.size,
      ...(isPending ? { pendingReason: job.pendingReason } : {}),
    },
    'info',
  );
}
