/** @file Cache of the decoded pages of the replica. It lets a standby decode them before it becomes the leader. */
import type { PageEntry } from '../../core/model/records.js';
import { decodePage } from '../../wire/page-record.js';
import type { ReplicaEntry } from './replica-view.js';

/** The pages of the replica, each decoded once and cached as long as the replica keeps its entry. */
export class DecodedPageCache {
  private readonly entriesByPage = new WeakMap<ReplicaEntry, readonly PageEntry[]>();
  private decodedCount = 0;

  /** Number of pages decoded so far. */
  get decodedPageCount(): number {
    return this.decodedCount;
  }

  /** Returns the chunk records of a page; throws `MalformedRecordError` if the page cannot be decoded. */
  entriesOf(page: ReplicaEntry): readonly PageEntry[] {
    const cached = this.entriesByPage.get(page);
    if (cached !== undefined) return cached;
    const entries = decodePage(page.value);
    this.decodedCount += 1;
    this.entriesByPage.set(page, entries);
    return entries;
  }
}
