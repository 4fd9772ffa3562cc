/**
 * @file Chunks: runs of a job's tasks that are recorded together. It owns which chunk a task belongs to and the form in
 * which a chunk is written; changes of chunks are queued by record-changes.ts.
 */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { ChunkRecord, TaskChunk } from '../model/records.js';

/** Tasks per chunk: a whole chunk of assignments, with the longest names, fits a page of the state store. */
export const CHUNK_TASKS = 40;

/** Index of the chunk that a task belongs to. */
export const chunkIndexOf = (taskIndex: number): number => Math.floor(taskIndex / CHUNK_TASKS);

/** A chunk without assignments. */
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

/** The chunk that records a task, created when it is first needed. */
export function getOrCreateChunk(job: Job, taskIndex: number): TaskChunk {
  const index = chunkIndexOf(taskIndex);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = newChunk(job.spec.id, index, 0, []);
    job.chunks.set(index, chunk);
  }
  return chunk;
}

/** A chunk as it is to be written, built again only after a change. */
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

/** Whether the chunk has changes that are not committed. */
export const hasUncommittedChanges = (chunk: TaskChunk): boolean => chunk.version > chunk.committedVersion;

/** Whether the record that holds the assignment is committed. */
export const isAssignmentCommitted = (job: Job, assignment: Assignment): boolean =>
  getOrCreateChunk(job, assignment.taskIndex).committedVersion >= assignment.recordVersion;
