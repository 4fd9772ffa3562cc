/**
 * @file Splits pages when the records are loaded: a page written under larger limits of the state store may hold more
 * than the present limits allow.
 */
import type { MonotonicTime } from '../model/time.js';
import type { RecordPage } from '../model/records.js';
import type { ClusterState } from '../state/cluster-state.js';
import { maxEntryBytes, maxChunksPerPage, pageCapacityBytes, reservedBytesOf } from './page-size.js';
import { markPageChanged } from './record-changes.js';
import { addNewPage, addToPage, removeFromPage } from './record-pages.js';

/**
 * Distributes the chunks of oversized pages over additional pages. A page and the pages split off from it are written
 * in one transaction, so that no assignment is ever unrecorded.
 */
export function splitOversizedPages(state: ClusterState, now: MonotonicTime): void {
  const capacity = pageCapacityBytes(state.config);
  const maxChunks = maxChunksPerPage(state.config);
  for (const page of [...state.records.pages.values()]) {
    if (reservedBytesOf(state, page) <= capacity && page.chunks.size <= maxChunks) continue;
    const group = splitPage(state, page);
    for (const member of group) {
      markPageChanged(state.records, member, now);
      state.records.urgentPages.add(member.id);
    }
    state.records.atomicPageGroups.push(group.map(({ id }) => id));
  }
}

/** Moves the chunks that do not fit to new pages. Returns the page, followed by the new pages. */
function splitPage(state: ClusterState, page: RecordPage): RecordPage[] {
  const capacity = pageCapacityBytes(state.config);
  const maxChunks = maxChunksPerPage(state.config);
  const group = [page];
  let target = page;
  let usedBytes = 0;
  let chunkCount = 0;
  for (const chunk of [...page.chunks]) {
    const job = state.jobs.byId.get(chunk.jobId);
    const neededBytes = job === undefined ? 0 : maxEntryBytes(state, job, chunk);
    if (chunkCount > 0 && (usedBytes + neededBytes > capacity || chunkCount >= maxChunks)) {
      target = addNewPage(state.records, page.pool);
      group.push(target);
      usedBytes = 0;
      chunkCount = 0;
    }
    if (target !== page) {
      removeFromPage(chunk);
      addToPage(target, chunk);
    }
    usedBytes += neededBytes;
    chunkCount += 1;
  }
  return group;
}
