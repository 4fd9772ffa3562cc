/** @file Cache of decoded pages of the replica. It lets a standby decode assignments before it becomes the leader. */
import type { PageEntry } from '../../core/model/records.js';
import { decodeAssignedRows, decodeOtherRows, type DecodedRows } from '../../wire/page-record.js';
import type { ReplicaEntry } from './replica-view.js';

/**
 * The chunk records with assignments, each decoded once and cached as long as the replica keeps its page. The other
 * chunk records only hold results. They are not cached, because there may be thousands of them for each job.
 */
export class DecodedPageCache {
  private readonly assignedRowsByPage = new WeakMap<ReplicaEntry, DecodedRows>();
  private decodedCount = 0;

  /** Number of pages whose assignments were decoded so far. */
  get decodedPageCount(): number {
    return this.decodedCount;
  }

  /** Returns the chunk records of a page; throws `MalformedRecordError` if the page cannot be decoded. */
  entriesOf(page: ReplicaEntry): readonly PageEntry[] {
    return decodeOtherRows(page.value, this.assignedRowsOf(page));
  }

  /** Returns the chunk records of a page that have assignments; throws `MalformedRecordError` if one is malformed. */
  assignedEntriesOf(page: ReplicaEntry): Iterable<PageEntry> {
    return this.assignedRowsOf(page).values();
  }

  private assignedRowsOf(page: ReplicaEntry): DecodedRows {
    const cached = this.assignedRowsByPage.get(page);
    if (cached !== undefined) return cached;
    const rows = decodeAssignedRows(page.value);
    this.decodedCount += 1;
    this.assignedRowsByPage.set(page, rows);
    return rows;
  }
}
