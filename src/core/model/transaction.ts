/**
 * @file Transactions: the leader's writes to the state store. Changes are batched by page and committed one transaction
 * at a time.
 */
import type { PageEntry, TaskChunk } from './records.js';

/** A page as it is to be written. */
export interface PageWrite {
  readonly id: number;
  readonly modRevision: number;
  readonly version: number;
  readonly entries: readonly PageEntry[];
  readonly chunks: readonly TaskChunk[];
}

/**
 * Changes that are committed together or not at all. Each transaction compares mod revisions: that of the leader key
 * (this process is still the leader), those of the jobs that get assignments (a cancellation wins against a start in
 * flight) and those of its pages (repeating a transaction that was committed after all changes nothing).
 */
export interface Transaction {
  readonly fencingToken: number;
  /** Jobs whose mod revisions are compared. */
  readonly jobConditions: ReadonlyMap<string, number>;
  readonly pages: readonly PageWrite[];
  readonly completedJobs: readonly string[];
  /** Jobs cancelled through a dependency, whose own records are to say so. */
  readonly cancelledJobs: readonly string[];
}

/** How many of the state store's operations a transaction takes. */
export const operationCount = (transaction: Transaction): number =>
  transaction.pages.length + transaction.completedJobs.length + transaction.cancelledJobs.length;
