/**
 * @file Pages: keys of the state store that each hold the chunks of many jobs, so that the many small changes of many
 * jobs cost few of its operations. It owns the table of pages and their contents. A chunk never leaves its page before
 * its job is finished, other than by page-splitting.ts.
 */
import type { Job } from '../model/job.js';
import type { ChunkRecord, PagePool, RecordPage, TaskChunk, PageEntry } from '../model/records.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { RecordState } from '../state/record-state.js';
import { isInAtomicGroup } from './atomic-page-groups.js';
import { maxEntryBytes, maxChunksPerPage, pageCapacityBytes, reservedBytesOf } from './page-size.js';

/** Services stay for hours and hardly change: in one page with arrays they would be written again and again. */
export const poolOf = (job: Job): PagePool => (job.spec.kind === 'service' ? 'service' : 'batch');

/** A page without chunks, added to the table. */
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

/** A page with the lowest free number, whose key does not exist yet. */
export function addNewPage(records: RecordState, pool: PagePool): RecordPage {
  let id = 0;
  while (records.pages.has(id)) id += 1;
  return addPage(records, id, pool, 0);
}

/** The page that holds a chunk, chosen when the chunk is first recorded. */
export function getOrAssignPage(state: ClusterState, job: Job, chunk: TaskChunk): RecordPage {
  if (chunk.page !== null) return chunk.page;
  const pool = poolOf(job);
  const page =
    fullestPageThatFits(state, pool, maxEntryBytes(state, job, chunk)) ?? addNewPage(state.records, pool);
  page.pool = pool;
  addToPage(page, chunk);
  return page;
}

/** The fullest page with enough free bytes: the fewer pages are written, the sooner each is. An empty page can change its pool. */
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

/** Adds a chunk that is in no page. */
export function addToPage(page: RecordPage, chunk: TaskChunk): void {
  page.chunks.add(chunk);
  page.reservedBytes = null;
  chunk.page = page;
}

/** Removes a chunk that needs no record any more; the page's next write leaves it out. */
export function removeFromPage(chunk: TaskChunk): void {
  if (chunk.page === null) return;
  chunk.page.chunks.delete(chunk);
  chunk.page.reservedBytes = null;
  chunk.page = null;
}

/** Once a job is finished, chunks without assignments need no record: the job's own key says how it ended. */
export function releaseFinishedChunks(job: Job): void {
  if (job.status === 'open') return;
  for (const chunk of job.chunks.values()) if (chunk.assignments.size === 0) removeFromPage(chunk);
}

/** The entries of a page as they are to be written. */
export function pageEntriesOf(page: RecordPage, recordOf: (chunk: TaskChunk) => ChunkRecord): PageEntry[] {
  return [...page.chunks].map((chunk) => ({
    jobId: chunk.jobId,
    chunkIndex: chunk.index,
    record: recordOf(chunk),
  }));
}
