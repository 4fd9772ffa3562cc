/**
 * @file Chunks: ranges of a job's tasks that are recorded together. It owns the mapping from tasks to chunks and the
 * record that is written for a chunk; record-changes.ts queues changes of chunks.
 */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { ChunkRecord, TaskChunk } from '../model/records.js';
import type { TaskRange } from '../model/task-set.js';

/** Tasks per chunk. A full chunk of assignments with the longest names fits into a page of the state store. */
export const CHUNK_TASKS = 40;

/** Returns the index of the chunk to which a task belongs. */
export const chunkIndexOf = (taskIndex: number): number => Math.floor(taskIndex / CHUNK_TASKS);

/** The assignments of all chunks that have none; never changed. */
const NO_ASSIGNMENTS = new Map<number, Assignment>();

/** Returns a chunk without assignments and completed tasks. */
const newChunk = (job: Job, index: number, highestAttempt: number): TaskChunk => ({
  jobId: job.spec.id,
  index,
  page: null,
  highestAttempt,
  completedTasks: job.completedTasks,
  completedCount: 0,
  assignments: NO_ASSIGNMENTS,
  version: 0,
  committedVersion: 0,
  cachedRecord: null,
});

/** Returns the number of tasks of a job that a chunk records. */
export const taskCountOfChunk = ({ spec }: Job, index: number): number =>
  Math.min(CHUNK_TASKS, spec.taskCount - index * CHUNK_TASKS);

/** Whether all tasks that a chunk records are completed. */
export const isComplete = (job: Job, chunk: TaskChunk): boolean =>
  chunk.completedCount === taskCountOfChunk(job, chunk.index);

/** Returns the chunk that records a task, and creates it if it is missing. */
export function getOrCreateChunk(job: Job, taskIndex: number): TaskChunk {
  const index = chunkIndexOf(taskIndex);
  return job.chunks.get(index) ?? addChunk(job, index, 0);
}

/** Adds a chunk without assignments and completed tasks to a job, and returns it. */
export function addChunk(job: Job, index: number, highestAttempt: number): TaskChunk {
  const chunk = newChunk(job, index, highestAttempt);
  job.chunks.set(index, chunk);
  return chunk;
}

/** Records that the tasks of a range have their results. */
export function addCompletedTasks(chunk: TaskChunk, range: TaskRange): void {
  chunk.completedCount += chunk.completedTasks.addRange(range);
}

/** Records that a task has its result. */
export const addCompletedTask = (chunk: TaskChunk, taskIndex: number): void =>
  addCompletedTasks(chunk, { first: taskIndex, last: taskIndex });

/** Adds an assignment to its chunk. */
export function addToChunk(job: Job, chunk: TaskChunk, assignment: Assignment): void {
  if (chunk.assignments === NO_ASSIGNMENTS) chunk.assignments = new Map();
  chunk.assignments.set(assignment.taskIndex, assignment);
  job.assignedChunks.add(chunk);
}

/** Removes an assignment from its chunk. */
export function removeFromChunk(job: Job, chunk: TaskChunk, assignment: Assignment): void {
  chunk.assignments.delete(assignment.taskIndex);
  if (chunk.assignments.size > 0) return;
  chunk.assignments = NO_ASSIGNMENTS;
  job.assignedChunks.delete(chunk);
}

/** Returns the record to write for a chunk, built again only after a change. */
export function chunkRecordOf(chunk: TaskChunk): ChunkRecord {
  chunk.cachedRecord ??= {
    highestAttempt: chunk.highestAttempt,
    completedTasks: completedTasksOf(chunk),
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

function completedTasksOf({ index, completedTasks }: TaskChunk): TaskRange[] {
  const firstTask = index * CHUNK_TASKS;
  return completedTasks.rangesBetween(firstTask, firstTask + CHUNK_TASKS);
}

/** Releases the record built for writing a chunk without assignments, which may not be written again for long. */
export function releaseIdleRecord(chunk: TaskChunk): void {
  if (chunk.assignments.size === 0) chunk.cachedRecord = null;
}

/** Whether the chunk has uncommitted changes. */
export const hasUncommittedChanges = (chunk: TaskChunk): boolean => chunk.version > chunk.committedVersion;

/** Whether the assignment is committed. */
export const isAssignmentCommitted = (job: Job, assignment: Assignment): boolean =>
  getOrCreateChunk(job, assignment.taskIndex).committedVersion >= assignment.recordVersion;
