/**
 * @file Pages: keys of the state store. Each page holds chunks of many jobs, so that many small changes need few
 * operations of the state store. It owns the table of pages and their contents. A chunk leaves its page only after its
 * job is finished, except when page-splitting.ts moves it.
 */
import type { Job } from '../model/job.js';
import type { ChunkRecord, PagePool, RecordPage, TaskChunk, PageEntry } from '../model/records.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { RecordState } from '../state/record-state.js';
import { isInAtomicGroup } from './atomic-page-groups.js';
import { maxEntryBytes, maxChunksPerPage, pageCapacityBytes, reservedBytesOf } from './page-size.js';

/**
 * Returns the pool of pages for a job. Services have their own, because they run for hours and hardly change: in a page
 * shared with arrays they would be rewritten again and again.
 */
export const poolOf = (job: Job): PagePool => (job.spec.kind === 'service' ? 'service' : 'batch');

/** Adds a page without chunks to the table and returns it. */
export function addPage(records: RecordState, id: number, pool: PagePool, modRevision: number): RecordPage {
  const page: RecordPage = {
    id,
    pool,
    modRevision,
    version: 0,
    committedVersion: 0,
    chunks: new Set(),
    reservedBytes: null,
  };
  records.pages.set(id, page);
  return page;
}

/** Adds a page with the lowest free number, whose key does not exist yet, and returns it. */
export function addNewPage(records: RecordState, pool: PagePool): RecordPage {
  let id = 0;
  while (records.pages.has(id)) id += 1;
  return addPage(records, id, pool, 0);
}

/** Returns the page that holds a chunk. The page is chosen when the chunk is first recorded. */
export function getOrAssignPage(state: ClusterState, job: Job, chunk: TaskChunk): RecordPage {
  if (chunk.page !== null) return chunk.page;
  const pool = poolOf(job);
  const page =
    fullestPageThatFits(state, pool, maxEntryBytes(state, job, chunk)) ?? addNewPage(state.records, pool);
  page.pool = pool;
  addToPage(page, chunk);
  return page;
}

/**
 * Returns the fullest page that has room for the bytes and another chunk, or null if there is none: the fewer pages are
 * written, the sooner each is written. An empty page can change its pool.
 */
function fullestPageThatFits(state: ClusterState, pool: PagePool, neededBytes: number): RecordPage | null {
  const capacity = pageCapacityBytes(state.config);
  const maxChunks = maxChunksPerPage(state.config);
  let fullest: RecordPage | null = null;
  let fullestBytes = -1;
  for (const page of state.records.pages.values()) {
    if (page.pool !== pool && page.chunks.size > 0) continue;
    if (page.chunks.size >= maxChunks || isInAtomicGroup(state.records, page)) continue;
    const reserved = reservedBytesOf(state, page);
    if (reserved + neededBytes > capacity || reserved <= fullestBytes) continue;
    fullest = page;
    fullestBytes = reserved;
  }
  return fullest;
}

/** Adds a chunk that is not in any page. */
export function addToPage(page: RecordPage, chunk: TaskChunk): void {
  page.chunks.add(chunk);
  page.reservedBytes = null;
  chunk.page = page;
}

/** Removes a chunk that no longer needs a record from its page. The next write of the page omits it. */
export function removeFromPage(chunk: TaskChunk): void {
  if (chunk.page === null) return;
  chunk.page.chunks.delete(chunk);
  chunk.page.reservedBytes = null;
  chunk.page = null;
}

/** Removes a finished job's chunks without assignments and their records: the job's own key records its final status. */
export function releaseFinishedChunks(job: Job): void {
  for (const chunk of job.chunks.values()) releaseChunkIfFinished(job, chunk);
}

/** Removes a chunk without assignments and its record if its job is finished. */
export function releaseChunkIfFinished(job: Job, chunk: TaskChunk): void {
  if (job.status === 'open' || chunk.assignments.size > 0) return;
  removeFromPage(chunk);
  job.chunks.delete(chunk.index);
}

/** Returns the entries of a page as they will be written. */
export function pageEntriesOf(page: RecordPage, recordOf: (chunk: TaskChunk) => ChunkRecord): PageEntry[] {
  return [...page.chunks].map((chunk) => ({
    jobId: chunk.jobId,
    chunkIndex: chunk.index,
    record: recordOf(chunk),
  }));
}
