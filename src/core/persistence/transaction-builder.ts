/**
 * @file Chooses what the next transaction commits. It only reads the dirty state: what a transaction holds stays dirty
 * until commits.ts applies its commit, so that a lost one is simply built again.
 */
import type { Job } from '../model/job.js';
import { seconds, type Duration, type MonotonicTime } from '../model/time.js';
import { chunkRecordOf } from '../records/chunks.js';
import { hasChangesOutside, jobsStartingInPage } from '../records/record-changes.js';
import { pageEntriesOf } from '../records/record-pages.js';
import type { ClusterState } from '../state/cluster-state.js';
import { buildCancellations, isCancellationOverdue } from './cancellations.js';
import type { PageWrite, Transaction } from '../model/transaction.js';

/** The state store takes this many conditions for each operation that it allows in a transaction. */
const CONDITIONS_PER_OPERATION = 4;
/** The condition on the leader key. */
const LEADER_CONDITIONS = 1;
const MIN_BATCHING_DELAY = seconds(1);

/** A transaction under construction, with the limits of the state store. */
interface Draft {
  readonly maxOperations: number;
  readonly maxConditions: number;
  readonly pageIds: Set<number>;
  readonly jobConditions: Map<string, number>;
  readonly completedJobs: Set<string>;
}

/** The next transaction, or null when nothing is to be committed yet. */
export function nextTransaction(state: ClusterState, now: MonotonicTime): Transaction | null {
  const atomicGroup = state.records.atomicPageGroups[0];
  if (atomicGroup !== undefined) return atomicGroupTransaction(state, atomicGroup);
  if (isCancellationOverdue(state.records, now)) {
    const overdue = buildCancellations(state, now);
    if (overdue !== null) return overdue;
  }
  const draft = newDraft(state);
  // A job must not be committed as done ahead of the results that make it so. Jobs whose results are committed come
  // first: after the pages they would wait as long as pages go on changing.
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

/** Conditions beside the leader's: one for each page and each job. */
const conditionsOf = (draft: Draft): number => draft.pageIds.size + draft.jobConditions.size;

/** Commits a group of pages that chunks have moved between. */
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

/** Urgent pages, then those that are dirty for long enough, oldest first. */
function pagesToCommit(state: ClusterState, now: MonotonicTime): number[] {
  const { urgentPages, dirtyPages } = state.records;
  const pageIds = [...urgentPages];
  const delay = batchingDelay(state);
  for (const [id, dirtySince] of dirtyPages)
    if (now - dirtySince >= delay && !urgentPages.has(id)) pageIds.push(id);
  return pageIds;
}

/**
 * Ended assignments are held back this long to be committed together: nobody waits for them, and each write of a page
 * costs an operation. Where more pages change than fit into one transaction they are held back longer, so that what is
 * waited for does not queue behind them.
 */
function batchingDelay(state: ClusterState): Duration {
  const transactions = Math.ceil(state.records.dirtyPages.size / state.config.maxTransactionOperations);
  return MIN_BATCHING_DELAY * BigInt(Math.max(1, transactions));
}

/** Adds pages while operations are left; one whose starting jobs need too many conditions is left for later. */
function addPages(state: ClusterState, draft: Draft, pageIds: readonly number[]): void {
  for (const id of pageIds) {
    if (operationsOf(draft) >= draft.maxOperations) return;
    const starting = jobsStartingInPage(state, id).filter((job) => !draft.jobConditions.has(job.spec.id));
    if (conditionsOf(draft) + 1 + starting.length > draft.maxConditions) continue;
    addConditions(draft.jobConditions, starting);
    draft.pageIds.add(id);
  }
}

/** Adds jobs that are done, up to `maxOperations` operations in all. */
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
