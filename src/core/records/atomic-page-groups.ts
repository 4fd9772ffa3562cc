/** @file Groups of pages. Each group is written in one transaction, because chunks move between its pages. */
import type { Job } from '../model/job.js';
import type { RecordPage } from '../model/records.js';
import type { RecordState } from '../state/record-state.js';

/** Whether the page must be written in one transaction with other pages. */
export const isInAtomicGroup = (records: RecordState, page: RecordPage): boolean =>
  records.atomicPageGroups.some((group) => group.includes(page.id));

/** Whether a chunk of the job is in a page of an atomic group. No task of the job is assigned until it is written. */
export function hasPageInAtomicGroup(records: RecordState, job: Job): boolean {
  if (records.atomicPageGroups.length === 0) return false;
  for (const chunk of job.chunks.values())
    if (chunk.page !== null && isInAtomicGroup(records, chunk.page)) return true;
  return false;
}

/** Removes the first group from the queue once all its pages are committed. */
export function onPagesCommitted(records: RecordState, pageIds: ReadonlySet<number>): void {
  if (records.atomicPageGroups[0]?.every((id) => pageIds.has(id)) === true) records.atomicPageGroups.shift();
}
