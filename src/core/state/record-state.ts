/** @file What the leader keeps in the state store, and which of it is not committed yet. */
import type { RecordPage } from '../model/records.js';
import type { MonotonicTime } from '../model/time.js';

/** Pages of records and the changes that wait for a transaction. */
export interface RecordState {
  readonly pages: Map<number, RecordPage>;
  /** Groups of pages that must each be written in one transaction, since chunks move between them; the first is next. */
  readonly atomicPageGroups: (readonly number[])[];
  /** Counts every change of what is to be recorded. */
  version: number;
  /** Pages with uncommitted changes, oldest first, with the time of the first change. */
  readonly dirtyPages: Map<number, MonotonicTime>;
  /** Dirty pages whose commit a task or a user waits for. */
  readonly urgentPages: Set<number>;
  /** Jobs to be recorded as done once all their results are committed, with when that was requested. */
  readonly jobsToComplete: Map<string, MonotonicTime>;
  /** Jobs cancelled through a dependency whose own records are still open. */
  readonly unrecordedCancellations: Set<string>;
  /** When a transaction of such cancellations was last built. */
  cancellationsBuiltAt: MonotonicTime;
}

/** No records yet. */
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
