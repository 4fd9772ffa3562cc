/** @file The decoded pages of the replica. It lets a follower have them decoded before it becomes the leader. */
import type { PageEntry } from '../../core/model/records.js';
import { decodePage } from '../../wire/page-record.js';
import type { ReplicaEntry } from './replica-view.js';

/** Pages of the replica, decoded once each and kept as long as the replica's entry is. */
export class DecodedPageCache {
  private readonly entriesByPage = new WeakMap<ReplicaEntry, readonly PageEntry[]>();
  private decodedCount = 0;

  /** How many pages were decoded so far. */
  get decodedPageCount(): number {
    return this.decodedCount;
  }

  /** The chunk records of a page; throws `MalformedRecordError`. */
  entriesOf(page: ReplicaEntry): readonly PageEntry[] {
    const cached = this.entriesByPage.get(page);
    if (cached !== undefined) return cached;
    const entries = decodePage(page.value);
    this.decodedCount += 1;
    this.entriesByPage.set(page, entries);
    return entries;
  }
}
