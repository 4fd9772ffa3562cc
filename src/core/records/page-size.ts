/**
 * @file Limits of a page: upper bounds on the encoded size of its entries and on the number of its chunks. The size
 * bounds must never be below what the codec in src/wire/records.ts writes.
 */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Job } from '../model/job.js';
import type { RecordPage, TaskChunk } from '../model/records.js';
import type { ClusterState } from '../state/cluster-state.js';
import { CHUNK_TASKS, taskCountOfChunk } from './chunks.js';

/** Smallest allowed `maxValueBytes`: room for one chunk with the longest numbers and for the page header. */
export const MIN_VALUE_BYTES = 1792;

/** Bytes reserved in a page in addition to the zone names, which are written once per page. */
const PAGE_HEADER_BYTES = 240;
/** Size of an entry without its assignments: job id, index, counts and attempt, with their separators. */
const ENTRY_HEADER_BYTES = 48;
/** Four separators within an assignment, and the one that ends it. */
const ASSIGNMENT_SEPARATOR_BYTES = 5;
const ATTEMPT_DIGITS = 5;
const EPOCH_DIGITS = 3;
const ZONE_INDEX_DIGITS = 2;
/** Machine names are not known in advance. A machine with a longer name raises the bound. */
const MIN_NAME_BYTES = 10;

/** Compare conditions that the jobs starting in one page may use, for each operation that a transaction allows. */
const JOB_CONDITIONS_PER_OPERATION = 3.5;
const RESERVED_CONDITIONS = 2;

const digitCount = (value: number): number => String(Math.max(0, value)).length;

/**
 * Upper bound on the size of a chunk's entry in bytes: each task that is not completed may have an assignment, and a
 * result takes less space than an assignment. The bound only falls as results arrive, so a page with room for the
 * bounds of its chunks never overflows.
 */
export function maxEntryBytes(state: ClusterState, job: Job, chunk: TaskChunk): number {
  const firstTask = chunk.index * CHUNK_TASKS;
  const indexDigits = digitCount(firstTask + CHUNK_TASKS);
  const incompleteTasks = taskCountOfChunk(job, chunk.index) - chunk.completedCount;
  const assignmentBytes =
    indexDigits +
    ATTEMPT_DIGITS +
    EPOCH_DIGITS +
    ZONE_INDEX_DIGITS +
    ASSIGNMENT_SEPARATOR_BYTES +
    Math.max(MIN_NAME_BYTES, state.machines.longestNameBytes);
  // Results are written as ranges. At worst every second task has a result, each at most as long as a range of two
  // numbers.
  const resultBytes = Math.min(chunk.completedCount, incompleteTasks + 1) * (2 * indexDigits + 2);
  return ENTRY_HEADER_BYTES + job.spec.id.length + incompleteTasks * assignmentBytes + resultBytes;
}

/** Returns the bytes of a page that are available for entries. */
export const pageCapacityBytes = (config: ClusterConfig): number =>
  config.maxValueBytes - PAGE_HEADER_BYTES - config.zones.join(',').length;

/**
 * Upper bound on the number of chunks in a page. A transaction compares the key of each job whose assignments it
 * commits. After an outage or a loss of machines, all jobs of a page may start at once, and a page must be written as a
 * whole. If the conditions on its jobs exceeded what a transaction allows in addition to those on the page, the leader
 * key and a few completed jobs, the page could never be written again.
 */
export const maxChunksPerPage = (config: ClusterConfig): number =>
  Math.floor(JOB_CONDITIONS_PER_OPERATION * config.maxTransactionOperations) - RESERVED_CONDITIONS;

/**
 * Returns the sum of the size bounds of a page's entries in bytes, computed again once chunks are added, removed or
 * completed.
 */
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
