/** @file Records of assignments and results, in memory and as written to the state store. */
import type { Assignment } from './assignment.js';
import type { TaskRange, TaskSet } from './task-set.js';

/** A chunk as written to the state store. */
export interface ChunkRecord {
  readonly highestAttempt: number;
  /** In ascending order. */
  readonly completedTasks: readonly TaskRange[];
  readonly assignments: readonly AssignmentRecord[];
}

/** One recorded assignment. */
export interface AssignmentRecord {
  readonly taskIndex: number;
  readonly attempt: number;
  readonly machineName: string;
  readonly agentEpoch: number;
  readonly zone: string;
}

/** Group of jobs that share pages. It is derived from the jobs and never stored. */
export type PagePool = 'service' | 'batch';

/** A page: one key of the state store, which holds chunks of many jobs. */
export interface RecordPage {
  readonly id: number;
  pool: PagePool;
  /** Mod revision of the key at its last commit; 0 if the key does not exist. */
  modRevision: number;
  /** `RecordState.version` at the page's last change. */
  version: number;
  /** Highest committed version of the page. */
  committedVersion: number;
  readonly chunks: Set<TaskChunk>;
  /** Sum of the size bounds of its chunks in bytes, or null if it must be computed again. */
  reservedBytes: number | null;
}

/**
 * A range of consecutive tasks of a job, recorded together in one page. A chunk stays in memory until its job is
 * finished, so that a chunk without assignments must be small.
 */
export interface TaskChunk {
  readonly jobId: string;
  readonly index: number;
  /** Page that holds the chunk, or null if the chunk is not recorded. */
  page: RecordPage | null;
  /** Highest attempt number assigned in this chunk. */
  highestAttempt: number;
  /** The completed tasks of the whole job, which all its chunks share. */
  readonly completedTasks: TaskSet;
  /** Number of completed tasks of this chunk. */
  completedCount: number;
  /** Assignments by task index. Chunks without any share one empty map, so only records/chunks.ts may change it. */
  assignments: Map<number, Assignment>;
  /** `RecordState.version` at the chunk's last change. */
  version: number;
  /** Highest committed version of the chunk. */
  committedVersion: number;
  /** Record last built for writing, or null if the chunk has changed since or has no assignments. */
  cachedRecord: ChunkRecord | null;
}

/** One chunk in a page as written to the state store. */
export interface PageEntry {
  readonly jobId: string;
  readonly chunkIndex: number;
  readonly record: ChunkRecord;
}
