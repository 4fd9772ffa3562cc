/** @file Applies records of jobs: those read at the beginning of a term and those delivered by the watch. */
import { stopAllAssignments } from '../assignments/assignments.js';
import { onJobFinished, registerJob } from '../jobs/dependencies.js';
import { newJob, type Job, type JobRecord } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { finishJob } from './finished-jobs.js';

/** Applies a job's record. Registers a new job; for a cancellation, stops all tasks that may be running. */
export function onJobChanged(
  state: ClusterState,
  id: string,
  record: JobRecord,
  modRevision: number,
  now: Timestamp,
): void {
  const existing = state.jobs.byId.get(id);
  if (existing === undefined) addJob(state, newJob(record, modRevision, now.monotonic), now);
  else if (modRevision > existing.modRevision) updateJob(state, existing, record, modRevision, now);
}

function addJob(state: ClusterState, job: Job, now: Timestamp): void {
  const { id } = job.spec;
  state.jobs.byId.set(id, job);
  if (job.status === 'open') {
    registerJob(state, job, now);
  } else {
    state.jobs.finished.set(id, now.monotonic);
    onJobFinished(state, id, job.status, now);
  }
}

function updateJob(
  state: ClusterState,
  job: Job,
  record: JobRecord,
  modRevision: number,
  now: Timestamp,
): void {
  const { id } = job.spec;
  job.modRevision = modRevision;
  if (record.status !== 'open') state.records.unrecordedCancellations.delete(id);
  if (record.status === job.status) return;
  finishJob(state, job, record.status, now);
  if (record.status !== 'cancelled') return;
  emitLog(state, 'job cancelled', { job: id }, 'info');
  stopAllAssignments(state, job, 'cancelled', now.monotonic);
}
