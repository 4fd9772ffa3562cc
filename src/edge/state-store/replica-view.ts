/** @file The replica's interface for readers: its entries, their changes, and whether it is consistent. */
import type { Observable } from 'rxjs';
import type { FinishedJobSummary } from '../../wire/finished-job-summary.js';

/** The value and mod revision of a key in the replica. */
export interface ReplicaEntry {
  /** The decoded CBOR value, or a job's summary in its place (see `replaceWithSummary`). */
  readonly value: unknown;
  /**
   * The revision at which the key was last written in the state store; compare conditions must name this revision.
   */
  readonly modRevision: number;
}

/** A change of one key in the replica. */
export interface KeyChange {
  readonly key: string;
  /** The new entry, or null if the key was deleted. */
  readonly entry: ReplicaEntry | null;
}

/** The replica as its readers use it. */
export interface ReplicaView {
  readonly replica: ReadonlyMap<string, ReplicaEntry>;
  /** Emits every change after it has been applied to `replica`. A listener that throws would end the process. */
  readonly changes: Observable<KeyChange>;
  /**
   * True while the replica is being loaded: its keys are not from a single revision, so an absent key proves nothing.
   */
  readonly reloading: boolean;
  /** Replaces a key's value in memory with a summary. The mod revision stays, and no change is emitted. */
  replaceWithSummary(key: string, summary: FinishedJobSummary): void;
}

/** The entries of the replica and their changes. */
export type ReplicaEntries = Pick<ReplicaView, 'replica' | 'changes'>;
