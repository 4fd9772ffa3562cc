/** @file Runs of a job's tasks that are recorded together. */
import type { ClusterState } from '../state/cluster-state.js';
import type { ChunkRecord, TaskChunk } from '../model/records.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { removeFromPage, pageFor } from './record-pages.js';
import type { MonotonicTime } from '../model/time.js';

/** Tasks per chunk: a whole chunk of places, with the longest names, fits a page of the state service. */
export const CHUNK_TASKS = 40;

/** A chunk with nothing placed yet. */
export const newChunk = (
  job: string,
  index: number,
  attempt: number,
  done: readonly number[],
): TaskChunk => ({
  jobId: job,
  index,
  page: null,
  highestAttempt: attempt,
  completedTasks: new Set(done),
  assignments: new Map(),
  version: 0,
  committedVersion: 0,
  cachedRecord: null,
});

/** The chunk that records a task, made when it is first needed. */
export function chunkOf(job: Job, task: number): TaskChunk {
  const index = Math.floor(task / CHUNK_TASKS);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = newChunk(job.spec.id, index, 0, []);
    job.chunks.set(index, chunk);
  }
  return chunk;
}

/** A chunk as it stands, made anew only after a change. */
export function chunkRecordOf(chunk: TaskChunk): ChunkRecord {
  chunk.cachedRecord ??= {
    highestAttempt: chunk.highestAttempt,
    completedTasks: [...chunk.completedTasks].sort((a, b) => a - b),
    assignments: [...chunk.assignments.values()].map((assignment) => ({
      taskIndex: assignment.taskIndex,
      attempt: assignment.attempt,
      machineName: assignment.machineName,
      agentEpoch: assignment.agentEpoch,
      zone: assignment.zone,
    })),
  };
  return chunk.cachedRecord;
}

/**
 * Notes that a chunk has changed. What something waits for is urgent: a new place, or the last result of a job. An
 * ended place may wait a moment for others, since whoever reads the old record only takes more to be possible.
 */
export function markChunkChanged(
  state: ClusterState,
  job: Job,
  chunk: TaskChunk,
  urgent: boolean,
  now: MonotonicTime,
): void {
  state.records.version += 1;
  chunk.version = state.records.version;
  chunk.cachedRecord = null;
  const page = pageFor(state, job, chunk);
  page.version = state.records.version;
  if (!state.records.dirtyPages.has(page.id)) state.records.dirtyPages.set(page.id, now);
  if (urgent) state.records.urgentPages.add(page.id);
}

/** Once a job is over, chunks without places need no record: its own key tells how it ended. */
export function releaseFinishedChunks(job: Job): void {
  if (job.status === 'open') return;
  for (const chunk of job.chunks.values()) if (chunk.assignments.size === 0) removeFromPage(chunk);
}

/** Whether the record that holds the intent is committed. */
export const isAssignmentCommitted = (job: Job, assignment: Assignment): boolean =>
  chunkOf(job, assignment.taskIndex).committedVersion >= assignment.recordVersion;
