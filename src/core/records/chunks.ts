/**
 * @file Chunks: ranges of a job's tasks that are recorded together. It owns the mapping from tasks to chunks and the
 * record that is written for a chunk; record-changes.ts queues changes of chunks.
 */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { ChunkRecord, TaskChunk } from '../model/records.js';

/** Tasks per chunk. A full chunk of assignments with the longest names fits into a page of the state store. */
export const CHUNK_TASKS = 40;

/** Returns the index of the chunk to which a task belongs. */
export const chunkIndexOf = (taskIndex: number): number => Math.floor(taskIndex / CHUNK_TASKS);

/** Returns a chunk without assignments. */
export const newChunk = (
  jobId: string,
  index: number,
  highestAttempt: number,
  completedTasks: readonly number[],
): TaskChunk => ({
  jobId,
  index,
  page: null,
  highestAttempt,
  completedTasks: new Set(completedTasks),
  assignments: new Map(),
  version: 0,
  committedVersion: 0,
  cachedRecord: null,
});

/** Returns the chunk that records a task, and creates it if it is missing. */
export function getOrCreateChunk(job: Job, taskIndex: number): TaskChunk {
  const index = chunkIndexOf(taskIndex);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = newChunk(job.spec.id, index, 0, []);
    job.chunks.set(index, chunk);
  }
  return chunk;
}

/** Returns the record to write for a chunk, built again only after a change. */
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

/** Whether the chunk has uncommitted changes. */
export const hasUncommittedChanges = (chunk: TaskChunk): boolean => chunk.version > chunk.committedVersion;

/** Whether the assignment is committed. */
export const isAssignmentCommitted = (job: Job, assignment: Assignment): boolean =>
  getOrCreateChunk(job, assignment.taskIndex).committedVersion >= assignment.recordVersion;
