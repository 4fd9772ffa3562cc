import { CHUNK_TASKS } from './chunks.js';
import type { ChunkRecord, PagePool, TaskChunk, RecordPage } from '../model/records.js';
import type { Job } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/**
 * What the owner records goes into pages: each holds the chunks of many jobs, so that the many small changes of many
 * jobs cost few of the state service's changes. A chunk stays in its page until its job is over.
 */
export interface PageEntry {
  readonly jobId: string;
  readonly chunkIndex: number;
  readonly record: ChunkRecord;
}

const digits = (n: number): number => String(Math.max(0, n)).length;

/** What an entry takes beside its places: id, index, counts and attempt, with their signs. */
const ENTRY_HEAD = 48;
/** Beside its numbers and names a place takes its four signs and the one that ends it; attempts get five digits. */
const PLACE_SIGNS = 5;
const ATTEMPT_DIGITS = 5;
const SESSION_DIGITS = 3;
const ZONE_DIGITS = 2;
/** Machine names and sessions are not known in advance; a longer name seen raises the bound. */
const LEAST_NAME = 10;

/**
 * The most that a chunk's entry can come to take: each task that is not done may have a place, and a result takes less
 * than a place. It only falls as results come, so a page that holds its chunks' bounds never overflows.
 */
export function entryBytesBound(state: ClusterState, job: Job, chunk: TaskChunk): number {
  const first = chunk.index * CHUNK_TASKS;
  const tasks = Math.min(CHUNK_TASKS, job.spec.taskCount - first) - chunk.completedTasks.size;
  const each =
    digits(first + CHUNK_TASKS) +
    ATTEMPT_DIGITS +
    SESSION_DIGITS +
    ZONE_DIGITS +
    PLACE_SIGNS +
    Math.max(LEAST_NAME, state.machines.longestNameBytes);
  // Results stand as runs: at worst every second task, each at most as long as a run of two numbers.
  const runs = Math.min(chunk.completedTasks.size, tasks + 1) * (2 * digits(first + CHUNK_TASKS) + 2);
  return ENTRY_HEAD + job.spec.id.length + tasks * each + runs;
}

/** The least that a value must hold: one chunk with the longest numbers, and what stands beside it. */
export const MIN_VALUE_BYTES = 1792;

/** Zone names stand once in a page; this is kept free for them. */
const PAGE_HEAD = 240;

const room = (state: ClusterState): number =>
  state.config.maxValueBytes - PAGE_HEAD - state.config.zones.join(',').length;

/**
 * Each job that starts has its key guarded when its place is committed. All jobs of a page may start at once, after an
 * outage or when their machines were lost, and a page must be written whole: with more jobs than a transaction takes
 * conditions, beside the page's own, the owner's and those of a few jobs that are done, it could never be written again.
 */
const mostChunks = (state: ClusterState): number =>
  Math.floor(3.5 * state.config.maxTransactionOperations) - 2;

/** Services stay for hours and hardly change: beside arrays they would be written again and again. */
export const poolOf = (job: Job): PagePool => (job.spec.kind === 'service' ? 'service' : 'batch');

/** The page that holds a chunk, chosen when the chunk is first recorded. */
export function pageFor(state: ClusterState, job: Job, chunk: TaskChunk): RecordPage {
  if (chunk.page !== null) return chunk.page;
  const need = entryBytesBound(state, job, chunk);
  const pool = poolOf(job);
  let best: RecordPage | null = null;
  let bestUsed = -1;
  for (const page of state.records.pages.values()) {
    if (page.pool !== pool && page.chunks.size > 0) continue;
    if (page.chunks.size >= mostChunks(state) || isInAtomicGroup(state, page)) continue;
    const used = usedOf(state, page);
    // The fullest page that has room: the fewer pages are written, the sooner each is.
    if (used + need <= room(state) && used > bestUsed) [best, bestUsed] = [page, used];
  }
  best ??= newPage(state, pool);
  best.pool = pool;
  best.chunks.add(chunk);
  best.reservedBytes = null;
  chunk.page = best;
  return best;
}

/** Whether the page is to be written together with others. */
export const isInAtomicGroup = (state: ClusterState, page: RecordPage): boolean =>
  state.records.atomicPageGroups.some((group) => group.includes(page.id));

/** Whether part of the job is recorded in such a page: nothing new of it is placed until that is written. */
export function hasPageInAtomicGroup(state: ClusterState, job: Job): boolean {
  if (state.records.atomicPageGroups.length === 0) return false;
  for (const chunk of job.chunks.values())
    if (chunk.page !== null && isInAtomicGroup(state, chunk.page)) return true;
  return false;
}

/**
 * Pages that were written under larger limits of the state service hold more than may be written now. Their chunks are
 * dealt out to further pages, and all of these are written in one transaction, so that no place is ever unrecorded.
 */
export function splitOversizedPages(state: ClusterState, now: MonotonicTime): void {
  for (const page of [...state.records.pages.values()]) {
    if (usedOf(state, page) <= room(state) && page.chunks.size <= mostChunks(state)) continue;
    const group = dealOut(state, page);
    for (const { id } of group) {
      state.records.version += 1;
      const each = state.records.pages.get(id);
      if (each !== undefined) each.version = state.records.version;
      state.records.dirtyPages.set(id, now);
      state.records.urgentPages.add(id);
    }
    state.records.atomicPageGroups.push(group.map(({ id }) => id));
  }
}

function dealOut(state: ClusterState, page: RecordPage): RecordPage[] {
  const group = [page];
  let target = page;
  let used = 0;
  let count = 0;
  for (const chunk of [...page.chunks]) {
    const job = state.jobs.byId.get(chunk.jobId);
    const need = job === undefined ? 0 : entryBytesBound(state, job, chunk);
    if (count > 0 && (used + need > room(state) || count >= mostChunks(state))) {
      target = newPage(state, page.pool);
      group.push(target);
      used = 0;
      count = 0;
    }
    if (target !== page) {
      page.chunks.delete(chunk);
      target.chunks.add(chunk);
      chunk.page = target;
    }
    used += need;
    count += 1;
  }
  for (const each of group) each.reservedBytes = null;
  return group;
}

function newPage(state: ClusterState, pool: PagePool): RecordPage {
  let id = 0;
  while (state.records.pages.has(id)) id += 1;
  const page: RecordPage = {
    id,
    pool,
    modRevision: 0,
    version: 0,
    committedVersion: 0,
    chunks: new Set(),
    reservedBytes: null,
  };
  state.records.pages.set(id, page);
  return page;
}

function usedOf(state: ClusterState, page: RecordPage): number {
  if (page.reservedBytes === null) {
    page.reservedBytes = 0;
    for (const chunk of page.chunks) {
      const job = state.jobs.byId.get(chunk.jobId);
      if (job !== undefined) page.reservedBytes += entryBytesBound(state, job, chunk);
    }
  }
  return page.reservedBytes;
}

/** A chunk that needs no record any more leaves its page; the page's next write leaves it out. */
export function removeFromPage(chunk: TaskChunk): void {
  if (chunk.page === null) return;
  chunk.page.chunks.delete(chunk);
  chunk.page.reservedBytes = null;
  chunk.page = null;
}

/** What a page is to hold. */
export function pageEntriesOf(page: RecordPage, record: (chunk: TaskChunk) => ChunkRecord): PageEntry[] {
  return [...page.chunks].map((chunk) => ({
    jobId: chunk.jobId,
    chunkIndex: chunk.index,
    record: record(chunk),
  }));
}
