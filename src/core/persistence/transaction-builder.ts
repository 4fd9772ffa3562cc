/**
 * @file Builds the next transaction. It only reads the dirty state: changes in a transaction stay dirty until
 * commits.ts applies its commit, so that a lost transaction is simply built again.
 */
import type { Job } from '../model/job.js';
import { seconds, type Duration, type MonotonicTime } from '../model/time.js';
import { chunkRecordOf } from '../records/chunks.js';
import { hasChangesOutside, jobsStartingInPage } from '../records/record-changes.js';
import { pageEntriesOf } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import { buildCancellations, isCancellationOverdue } from './cancellations.js';
import type { PageWrite, Transaction } from '../model/transaction.js';

/** Number of compare conditions that the state store accepts for each operation that it allows in a transaction. */
const CONDITIONS_PER_OPERATION = 4;
/** Number of conditions on the leader key. */
const LEADER_CONDITIONS = 1;
const MIN_BATCHING_DELAY = seconds(1);

/** A transaction under construction, with the limits set by the state store. */
interface Draft {
  readonly maxOperations: number;
  readonly maxConditions: number;
  readonly pageIds: Set<number>;
  readonly jobConditions: Map<string, number>;
  readonly completedJobs: Set<string>;
}

/** Returns the next transaction, or null if there is nothing to commit yet. */
export function nextTransaction(state: ClusterState, now: MonotonicTime): Transaction | null {
  const atomicGroup = state.records.atomicPageGroups[0];
  if (atomicGroup !== undefined) return atomicGroupTransaction(state, atomicGroup);
  if (isCancellationOverdue(state.records, now)) {
    const overdue = buildCancellations(state, now);
    if (overdue !== null) return overdue;
  }
  const draft = newDraft(state);
  // A job must not be committed as done before its results are committed. Jobs whose results are already committed come
  // first, with up to half of the operations: placed after the pages, they would wait as long as pages keep changing.
  addCompletedJobs(state, draft, draft.maxOperations / 2);
  addPages(state, draft, pagesToCommit(state, now));
  addCompletedJobs(state, draft, draft.maxOperations);
  if (operationsOf(draft) === 0) return buildCancellations(state, now);
  return {
    fencingToken: state.term.fencingToken,
    jobConditions: draft.jobConditions,
    pages: pageWritesOf(state, draft.pageIds),
    completedJobs: [...draft.completedJobs],
    cancelledJobs: [],
  };
}

function newDraft(state: ClusterState): Draft {
  const maxOperations = state.config.maxTransactionOperations;
  return {
    maxOperations,
    maxConditions: CONDITIONS_PER_OPERATION * maxOperations - LEADER_CONDITIONS,
    pageIds: new Set(),
    jobConditions: new Map(),
    completedJobs: new Set(),
  };
}

const operationsOf = (draft: Draft): number => draft.pageIds.size + draft.completedJobs.size;

/** Returns the number of conditions without that on the leader key: one for each page and each job. */
const conditionsOf = (draft: Draft): number => draft.pageIds.size + draft.jobConditions.size;

/** Returns a transaction for a group of pages between which chunks have moved. */
function atomicGroupTransaction(state: ClusterState, pageIds: readonly number[]): Transaction {
  const jobConditions = new Map<string, number>();
  for (const id of pageIds) addConditions(jobConditions, jobsStartingInPage(state, id));
  return {
    fencingToken: state.term.fencingToken,
    jobConditions,
    pages: pageWritesOf(state, pageIds),
    completedJobs: [],
    cancelledJobs: [],
  };
}

/** Returns the urgent pages, then those that have been dirty for the batching delay, in the order of `dirtyPages`. */
function pagesToCommit(state: ClusterState, now: MonotonicTime): number[] {
  const { urgentPages, dirtyPages } = state.records;
  const pageIds = [...urgentPages];
  const delay = batchingDelay(state);
  for (const [id, dirtySince] of dirtyPages)
    if (now - dirtySince >= delay && !urgentPages.has(id)) pageIds.push(id);
  return pageIds;
}

/**
 * Returns how long changes that are not urgent, such as ended assignments, are delayed so that they are committed
 * together: no task or user waits for them, and each write of a page costs an operation. If more pages change than fit
 * into one transaction, the delay is longer, so that urgent changes do not queue behind them.
 */
function batchingDelay(state: ClusterState): Duration {
  const transactions = Math.ceil(state.records.dirtyPages.size / state.config.maxTransactionOperations);
  return MIN_BATCHING_DELAY * BigInt(Math.max(1, transactions));
}

/** Adds pages while operations remain. Skips a page for now if its starting jobs need too many conditions. */
function addPages(state: ClusterState, draft: Draft, pageIds: readonly number[]): void {
  for (const id of pageIds) {
    if (operationsOf(draft) >= draft.maxOperations) return;
    const starting = jobsStartingInPage(state, id).filter((job) => !draft.jobConditions.has(job.spec.id));
    if (conditionsOf(draft) + 1 + starting.length > draft.maxConditions) continue;
    addConditions(draft.jobConditions, starting);
    draft.pageIds.add(id);
  }
}

/** Adds completed jobs until the transaction has `maxOperations` operations in total. */
function addCompletedJobs(state: ClusterState, draft: Draft, maxOperations: number): void {
  for (const id of state.records.jobsToComplete.keys()) {
    if (operationsOf(draft) >= maxOperations || conditionsOf(draft) >= draft.maxConditions) return;
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.status !== 'open') continue;
    if (draft.completedJobs.has(id) || hasChangesOutside(job, draft.pageIds)) continue;
    draft.completedJobs.add(id);
    addConditions(draft.jobConditions, [job]);
  }
}

function addConditions(jobConditions: Map<string, number>, jobs: readonly Job[]): void {
  for (const job of jobs) jobConditions.set(job.spec.id, job.modRevision);
}

function pageWritesOf(state: ClusterState, pageIds: Iterable<number>): PageWrite[] {
  const writes: PageWrite[] = [];
  for (const id of pageIds) {
    const page = state.records.pages.get(id);
    if (page === undefined) continue;
    writes.push({
      id,
      modRevision: page.modRevision,
      version: page.version,
      entries: pageEntriesOf(page, chunkRecordOf),
      chunks: [...page.chunks],
    });
  }
  return writes;
}
