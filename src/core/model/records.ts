/** @file Records of assignments and results, in memory and as they are written to the state store. */
import type { Assignment } from './assignment.js';

/** A chunk as it is written to the state store. */
export interface ChunkRecord {
  readonly highestAttempt: number;
  readonly completedTasks: readonly number[];
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

/** Which jobs share pages. It is derived from the jobs and never stored. */
export type PagePool = 'service' | 'batch';

/** One key of the state store: the recorded state of many jobs' chunks. */
export interface RecordPage {
  readonly id: number;
  pool: PagePool;
  /** Mod revision of the key as last committed; 0: the key does not exist. */
  modRevision: number;
  /** `RecordState.version` at the page's last change. */
  version: number;
  /** The highest version of the page that is committed. */
  committedVersion: number;
  readonly chunks: Set<TaskChunk>;
  /** The sum of its chunks' size bounds; null: to be computed again. */
  reservedBytes: number | null;
}

/** A run of consecutive tasks of a job, recorded together in one page. */
export interface TaskChunk {
  readonly jobId: string;
  readonly index: number;
  /** The page that records it; null: nothing of it is recorded. */
  page: RecordPage | null;
  /** Highest attempt number assigned in this chunk. */
  highestAttempt: number;
  readonly completedTasks: Set<number>;
  readonly assignments: Map<number, Assignment>;
  /** `RecordState.version` at the chunk's last change. */
  version: number;
  /** The highest version of the chunk that is committed. */
  committedVersion: number;
  /** As last built for writing; null: changed since. */
  cachedRecord: ChunkRecord | null;
}

/** One chunk in a page as it is written. */
export interface PageEntry {
  readonly jobId: string;
  readonly chunkIndex: number;
  readonly record: ChunkRecord;
}
