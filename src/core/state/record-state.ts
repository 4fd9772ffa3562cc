/** @file The leader's records in the state store, and the changes to them that are not committed yet. */
import type { RecordPage } from '../model/records.js';
import type { MonotonicTime } from '../model/time.js';

/** Pages of records, and changes that wait for a transaction. */
export interface RecordState {
  readonly pages: Map<number, RecordPage>;
  /**
   * Groups of pages. Each group is written in one transaction, because chunks move between its pages. The first group
   * is written next.
   */
  readonly atomicPageGroups: (readonly number[])[];
  /** Incremented with each change that must be recorded. */
  version: number;
  /** Pages with uncommitted changes, oldest first, with the time of the first change. */
  readonly dirtyPages: Map<number, MonotonicTime>;
  /** Dirty pages for whose commit a task or a user is waiting. */
  readonly urgentPages: Set<number>;
  /** Jobs to be recorded as done once all their results are committed, with the time of that request. */
  readonly jobsToComplete: Map<string, MonotonicTime>;
  /** Jobs that were cancelled through a dependency and whose own records are still open. */
  readonly unrecordedCancellations: Set<string>;
  /** When a transaction with such cancellations was last built. */
  cancellationsBuiltAt: MonotonicTime;
}

/** Returns a state without records. */
export const newRecordState = (startedAt: MonotonicTime): RecordState => ({
  pages: new Map(),
  atomicPageGroups: [],
  version: 0,
  dirtyPages: new Map(),
  urgentPages: new Set(),
  jobsToComplete: new Map(),
  unrecordedCancellations: new Set(),
  cancellationsBuiltAt: startedAt,
});
