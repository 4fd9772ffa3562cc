import type { ChunkRecord } from '../records/chunks.js';
import type { Assignment } from './assignment.js';

/** One key of the state service: the recorded state of many jobs' chunks. */
export interface RecordPage {
  readonly id: number;
  pool: 'lasting' | 'passing';
  /** Stamp of the key as last committed; 0: the key does not exist. */
  modRevision: number;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committedVersion: number;
  readonly chunks: Set<TaskChunk>;
  /** The sum of its chunks' bounds; null: to be counted anew. */
  reservedBytes: number | null;
}

/** A run of a job's tasks, recorded together in one page. */
export interface TaskChunk {
  readonly jobId: string;
  readonly index: number;
  page: RecordPage | null;
  /** Highest attempt number given out in this chunk. */
  highestAttempt: number;
  readonly completedTasks: Set<number>;
  readonly assignments: Map<number, Assignment>;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committedVersion: number;
  /** As last written out; null: changed since. */
  cachedRecord: ChunkRecord | null;
}
