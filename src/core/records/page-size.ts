/**
 * @file How much a page may hold: bounds of the encoded size of its entries, and the number of its chunks. The bounds
 * must never be below what the codec in src/wire/records.ts writes.
 */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Job } from '../model/job.js';
import type { RecordPage, TaskChunk } from '../model/records.js';
import type { ClusterState } from '../state/cluster-state.js';
import { CHUNK_TASKS } from './chunks.js';

/** The least that a value of the state store must hold: one chunk with the longest numbers, and the page's head. */
export const MIN_VALUE_BYTES = 1792;

/** Zone names are written once in a page; this many bytes are kept free beside them. */
const PAGE_HEADER_BYTES = 240;
/** An entry beside its assignments: job id, index, counts and attempt, with their separators. */
const ENTRY_HEADER_BYTES = 48;
/** Four separators of an assignment, and the one that ends it. */
const ASSIGNMENT_SEPARATOR_BYTES = 5;
const ATTEMPT_DIGITS = 5;
const EPOCH_DIGITS = 3;
const ZONE_INDEX_DIGITS = 2;
/** Machine names are not known in advance; a longer name that is seen raises the bound. */
const MIN_NAME_BYTES = 10;

/** Share of a transaction's conditions, in operations, that the jobs starting in one page may take. */
const JOB_CONDITIONS_PER_OPERATION = 3.5;
const RESERVED_CONDITIONS = 2;

const digitCount = (value: number): number => String(Math.max(0, value)).length;

/**
 * The most bytes that a chunk's entry can come to take: each task that is not completed may have an assignment, and a
 * result takes less than an assignment. The bound only falls as results come in, so a page that can hold its
 * chunks' bounds never overflows.
 */
export function maxEntryBytes(state: ClusterState, job: Job, chunk: TaskChunk): number {
  const firstTask = chunk.index * CHUNK_TASKS;
  const indexDigits = digitCount(firstTask + CHUNK_TASKS);
  const incompleteTasks = Math.min(CHUNK_TASKS, job.spec.taskCount - firstTask) - chunk.completedTasks.size;
  const assignmentBytes =
    indexDigits +
    ATTEMPT_DIGITS +
    EPOCH_DIGITS +
    ZONE_INDEX_DIGITS +
    ASSIGNMENT_SEPARATOR_BYTES +
    Math.max(MIN_NAME_BYTES, state.machines.longestNameBytes);
  // Results are written as ranges: at worst every second task, each at most as long as a range of two numbers.
  const resultBytes = Math.min(chunk.completedTasks.size, incompleteTasks + 1) * (2 * indexDigits + 2);
  return ENTRY_HEADER_BYTES + job.spec.id.length + incompleteTasks * assignmentBytes + resultBytes;
}

/** The bytes of a page that entries may take. */
export const pageCapacityBytes = (config: ClusterConfig): number =>
  config.maxValueBytes - PAGE_HEADER_BYTES - config.zones.join(',').length;

/**
 * The most chunks in a page. A transaction compares the key of each job whose assignments it commits. All jobs of a page
 * may start at once, after an outage or when their machines were lost, and a page must be written whole: with more jobs
 * than a transaction takes conditions, beside those of the page, of the leader key and of a few jobs that are done, it
 * could never be written again.
 */
export const maxChunksPerPage = (config: ClusterConfig): number =>
  Math.floor(JOB_CONDITIONS_PER_OPERATION * config.maxTransactionOperations) - RESERVED_CONDITIONS;

/** The sum of the bounds of a page's entries, computed again after its chunks or their results have changed. */
export function reservedBytesOf(state: ClusterState, page: RecordPage): number {
  if (page.reservedBytes === null) {
    page.reservedBytes = 0;
    for (const chunk of page.chunks) {
      const job = state.jobs.byId.get(chunk.jobId);
      if (job !== undefined) page.reservedBytes += maxEntryBytes(state, job, chunk);
    }
  }
  return page.reservedBytes;
}
