import type { PageEntry } from '../../core/records/record-pages.js';
import { decodePage } from '../../wire/records.js';
import type { ReplicaEntry } from './state-store.js';

/** Pages of the followed copy, taken apart once each: a standby that follows them has them ready when it takes over. */
export class DecodedPageCache {
  private readonly known = new WeakMap<ReplicaEntry, readonly PageEntry[]>();
  /** How many were taken apart. */
  decoded = 0;

  /** What a page holds; throws if it cannot be read. */
  of(entry: ReplicaEntry): readonly PageEntry[] {
    const known = this.known.get(entry);
    if (known !== undefined) return known;
    const entries = decodePage(entry.value);
    this.decoded += 1;
    this.known.set(entry, entries);
    return entries;
  }
}
