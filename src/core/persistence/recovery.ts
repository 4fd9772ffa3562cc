/** @file Jobs and records as they are read from the state service. */
import { releaseFinishedChunks, newChunk } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { registerJob, onJobFinished } from '../jobs/dependencies.js';
import { stopAllAssignments, requestCompletion } from '../assignments/assignments.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import { newJob, type JobRecord } from '../model/job.js';
import type { RecordPage } from '../model/records.js';
import { type PageEntry, poolOf } from '../records/record-pages.js';
import type { Timestamp } from '../model/time.js';

/** A job's record as read or followed. New jobs come in; a cancellation stops what may run. */
export function onJobChanged(
  state: ClusterState,
  id: string,
  record: JobRecord,
  modRevision: number,
  now: Timestamp,
): void {
  const known = state.jobs.byId.get(id);
  if (known === undefined) {
    const job = newJob(record, modRevision, now.monotonic);
    state.jobs.byId.set(id, job);
    if (record.status === 'open') {
      for (let t = 0; t < record.spec.taskCount; t++) job.unassignedTasks.add(t);
      registerJob(state, job, now);
    } else {
      state.jobs.finished.set(id, now.monotonic);
      onJobFinished(state, id, record.status, now);
    }
    return;
  }
  if (modRevision <= known.modRevision) return;
  known.modRevision = modRevision;
  if (record.status !== 'open') state.records.unrecordedCancellations.delete(id);
  if (record.status === known.status) return;
  known.status = record.status;
  known.unassignedTasks.clear();
  state.jobs.pending.delete(id);
  state.jobs.active.delete(id);
  state.jobs.finished.set(id, now.monotonic);
  state.jobs.fairSharesStale = true;
  releaseFinishedChunks(known);
  if (record.status !== 'open') onJobFinished(state, id, record.status, now);
  if (record.status === 'cancelled') {
    emitLog(state, 'job cancelled', { job: id }, 'info');
    stopAllAssignments(state, known, 'cancelled', now.monotonic);
  }
}

/** A page as read when the term began. */
export function onPageLoaded(
  state: ClusterState,
  id: number,
  entries: readonly PageEntry[],
  modRevision: number,
  now: Timestamp,
): void {
  const page: RecordPage = {
    id,
    pool: 'batch',
    modRevision,
    version: 0,
    committedVersion: 0,
    chunks: new Set(),
    reservedBytes: null,
  };
  state.records.pages.set(id, page);
  for (const entry of entries) onChunk(state, page, entry, now);
}

/** A chunk as read when the term began. Its intents are possible places until proven otherwise. */
function onChunk(state: ClusterState, page: RecordPage, entry: PageEntry, now: Timestamp): void {
  const id = entry.jobId;
  const img = entry.record;
  const job = state.jobs.byId.get(id);
  if (job === undefined) return;
  // What a closed job's page still says without places is of no more use.
  if (job.status !== 'open' && img.assignments.length === 0) return;
  const chunk = newChunk(id, entry.chunkIndex, img.highestAttempt, img.completedTasks);
  chunk.page = page;
  page.chunks.add(chunk);
  page.pool = poolOf(job);
  job.chunks.set(entry.chunkIndex, chunk);
  job.completedCount += chunk.completedTasks.size;
  for (const t of chunk.completedTasks) job.unassignedTasks.delete(t);
  for (const i of img.assignments) {
    const assignment: Assignment = {
      ...i,
      jobId: id,
      recordVersion: 0,
      createdAt: now.monotonic,
      phase: 'assigned',
      stopRequest: null,
      // It may have been sent by an earlier owner: only proof ends it.
      startSentInSequence: 0,
      startSentAt: null,
      runningSince: null,
    };
    chunk.assignments.set(i.taskIndex, assignment);
    job.unassignedTasks.delete(i.taskIndex);
    job.assignedCount += 1;
    state.jobs.quotas.acquire(job.spec);
    const machine = getOrAddMachine(state, i.machineName, now.monotonic);
    machine.assignments.set(taskKey(id, i.taskIndex), assignment);
    machine.resources = null;
  }
  if (job.unassignedTasks.size === 0) state.jobs.pending.delete(id);
  if (job.status === 'cancelled') stopAllAssignments(state, job, 'cancelled', now.monotonic);
  if (job.completedCount === job.spec.taskCount && job.status === 'open')
    requestCompletion(state, job, now.monotonic);
}
