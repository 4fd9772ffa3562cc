/** @file What readers may see of the replica: its entries, their changes, and whether it is consistent. */
import type { Observable } from 'rxjs';
import type { FinishedJobSummary } from '../../wire/finished-job-summary.js';

/** A key of the replica. */
export interface ReplicaEntry {
  /** The decoded CBOR value, or a job's summary in its place (see `replaceWithSummary`). */
  readonly value: unknown;
  /** The revision at which the state store last wrote the key: what a compare condition must name. */
  readonly modRevision: number;
}

/** A key that changed in the replica. */
export interface KeyChange {
  readonly key: string;
  /** Null: the key was deleted. */
  readonly entry: ReplicaEntry | null;
}

/** The replica as its readers use it. */
export interface ReplicaView {
  readonly replica: ReadonlyMap<string, ReplicaEntry>;
  /** Every change, after it has been applied to `replica`. A listener that throws would end the process. */
  readonly changes: Observable<KeyChange>;
  /** The replica is being loaded: its keys are not of one revision, so an absent key proves nothing. */
  readonly reloading: boolean;
  /** Keeps a smaller value in memory for a key. Its mod revision stays, and no change is announced. */
  replaceWithSummary(key: string, summary: FinishedJobSummary): void;
}

/** The entries of the replica and their changes. */
export type ReplicaEntries = Pick<ReplicaView, 'replica' | 'changes'>;
