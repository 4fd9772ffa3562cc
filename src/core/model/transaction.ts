/**
 * @file Transactions: the leader's writes to the state store. Changes are batched by page and committed one transaction
 * at a time.
 */
import type { PageEntry, TaskChunk } from './records.js';

/** The write of one page. */
export interface PageWrite {
  readonly id: number;
  readonly modRevision: number;
  readonly version: number;
  readonly entries: readonly PageEntry[];
  readonly chunks: readonly TaskChunk[];
}

/**
 * Changes that are committed together or not at all. Each transaction compares mod revisions: that of the leader key
 * (this process is still the leader), those of the jobs that get assignments (a cancellation wins over a concurrent
 * start) and those of its pages (repeating a transaction that was already committed changes nothing).
 */
export interface Transaction {
  readonly fencingToken: number;
  /** Mod revisions to compare, by job id. */
  readonly jobConditions: ReadonlyMap<string, number>;
  readonly pages: readonly PageWrite[];
  readonly completedJobs: readonly string[];
  /** Jobs cancelled through a dependency, to be recorded as cancelled. */
  readonly cancelledJobs: readonly string[];
}

/** Returns the number of state store operations in a transaction. */
export const operationCount = (transaction: Transaction): number =>
  transaction.pages.length + transaction.completedJobs.length + transaction.cancelledJobs.length;
