import { releaseFinishedChunks, chunkRecordOf } from '../records/chunks.js';
import { onJobFinished } from '../jobs/dependencies.js';
import type { TaskChunk } from '../model/records.js';
import type { Job } from '../model/job.js';
import { pageEntriesOf, type PageEntry } from '../records/record-pages.js';
import { seconds, type Timestamp, type MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/**
 * The owner's writes to the state service. Changes pile up per page and go out together, one transaction at a time;
 * each is guarded by the part's stamp (we are still the owner), the stamps of the jobs that get places (a cancellation
 * beats a start in flight) and the page's (a repeat of a transaction that was carried out after all changes nothing).
 */
export interface PageWrite {
  readonly id: number;
  readonly modRevision: number;
  readonly version: number;
  readonly entries: readonly PageEntry[];
  readonly chunks: readonly TaskChunk[];
}

/** Changes that are committed together or not at all. */
export interface Transaction {
  readonly fencingToken: number;
  /** Jobs whose stamps are guarded. */
  readonly jobConditions: ReadonlyMap<string, number>;
  readonly pages: readonly PageWrite[];
  readonly completedJobs: readonly string[];
  /** Jobs cancelled through a dependency, whose own records are to say so. */
  readonly cancelledJobs: readonly string[];
}

/** How many of the state service's changes a transaction takes. */
export const operationCount = (transaction: Transaction): number =>
  transaction.pages.length + transaction.completedJobs.length + transaction.cancelledJobs.length;

/**
 * Ended places wait this long for company: nobody waits for them, and each write of a page costs a change. Where more
 * pages change than fit one transaction they wait longer, so that what is waited for is not behind them.
 */
const batchingDelay = (state: ClusterState): MonotonicTime =>
  seconds(1) *
  BigInt(Math.max(1, Math.ceil(state.records.dirtyPages.size / state.config.maxTransactionOperations)));

const unrecorded = (job: Job, but: ReadonlySet<number>): boolean => {
  for (const chunk of job.chunks.values())
    if (chunk.version > chunk.committedVersion && (chunk.page === null || !but.has(chunk.page.id)))
      return true;
  return false;
};

/** Jobs with places in the page that are not recorded yet. */
function startingIn(state: ClusterState, id: number): Job[] {
  const out: Job[] = [];
  for (const chunk of state.records.pages.get(id)?.chunks ?? []) {
    if (chunk.version <= chunk.committedVersion) continue;
    const job = state.jobs.byId.get(chunk.jobId);
    if (job === undefined || job.status !== 'open') continue;
    for (const assignment of chunk.assignments.values())
      if (assignment.recordVersion > chunk.committedVersion) {
        out.push(job);
        break;
      }
  }
  return out;
}

/** Adds jobs that are done, up to `most` changes in all. */
function finishing(
  state: ClusterState,
  most: number,
  taken: ReadonlySet<number>,
  jobs: Map<string, number>,
  done: string[],
  ids: readonly number[],
): void {
  for (const id of state.records.jobsToComplete.keys()) {
    if (
      ids.length + done.length >= most ||
      ids.length + jobs.size + 1 >= 4 * state.config.maxTransactionOperations
    )
      return;
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.status !== 'open' || done.includes(id) || unrecorded(job, taken)) continue;
    done.push(id);
    jobs.set(id, job.modRevision);
  }
}

function writesOf(state: ClusterState, ids: readonly number[]): PageWrite[] {
  const pages: PageWrite[] = [];
  for (const id of ids) {
    const page = state.records.pages.get(id);
    if (page === undefined) continue;
    const entries = pageEntriesOf(page, chunkRecordOf);
    pages.push({
      id,
      modRevision: page.modRevision,
      version: page.version,
      entries,
      chunks: [...page.chunks],
    });
  }
  return pages;
}

function startingJobs(state: ClusterState, ids: readonly number[]): Map<string, number> {
  const jobs = new Map<string, number>();
  for (const id of ids) for (const job of startingIn(state, id)) jobs.set(job.spec.id, job.modRevision);
  return jobs;
}

/** However much else there is to commit, records of cancelled dependents are written this often. */
const CANCELLATIONS_EVERY = seconds(5);

/**
 * Records of jobs that were cancelled through a dependency. They have a transaction of their own: a user may cancel one
 * of them at the same time, and the places of other jobs must not be refused together with it.
 */
function cancellations(state: ClusterState, now: MonotonicTime): Transaction | null {
  if (state.records.unrecordedCancellations.size === 0) return null;
  const jobs = new Map<string, number>();
  for (const id of state.records.unrecordedCancellations) {
    if (jobs.size >= state.config.maxTransactionOperations) break;
    const job = state.jobs.byId.get(id);
    if (job === undefined) state.records.unrecordedCancellations.delete(id);
    else jobs.set(id, job.modRevision);
  }
  state.records.cancellationsWrittenAt = now;
  return {
    fencingToken: state.term.fencingToken,
    jobConditions: jobs,
    pages: [],
    completedJobs: [],
    cancelledJobs: [...jobs.keys()],
  };
}

/** The next transaction, or null when nothing waits. What it holds stays dirty until `settled`. */
export function nextTransaction(state: ClusterState, now: MonotonicTime): Transaction | null {
  const tied = state.records.atomicPageGroups[0];
  if (tied !== undefined)
    return {
      fencingToken: state.term.fencingToken,
      jobConditions: startingJobs(state, tied),
      pages: writesOf(state, tied),
      completedJobs: [],
      cancelledJobs: [],
    };
  if (now - state.records.cancellationsWrittenAt >= CANCELLATIONS_EVERY) {
    const overdue = cancellations(state, now);
    if (overdue !== null) return overdue;
  }
  const ops = state.config.maxTransactionOperations;
  const guards = 4 * ops - 1;
  const ids: number[] = [];
  const taken = new Set<number>();
  const jobs = new Map<string, number>();
  const done: string[] = [];
  // "Done" is told once committed, and it must not be committed ahead of the results that make it true. Jobs whose
  // results are recorded come first: behind the pages they would wait as long as pages go on changing.
  finishing(state, ops / 2, taken, jobs, done, ids);
  const order = [...state.records.urgentPages];
  const wait = batchingDelay(state);
  for (const [id, since] of state.records.dirtyPages)
    if (now - since >= wait && !state.records.urgentPages.has(id)) order.push(id);
  for (const id of order) {
    if (ids.length + done.length >= ops) break;
    const starting = startingIn(state, id).filter((job) => !jobs.has(job.spec.id));
    if (ids.length + 1 + jobs.size + starting.length > guards) continue;
    for (const job of starting) jobs.set(job.spec.id, job.modRevision);
    ids.push(id);
    taken.add(id);
  }
  finishing(state, ops, taken, jobs, done, ids);
  if (ids.length === 0 && done.length === 0) return cancellations(state, now);
  return {
    fencingToken: state.term.fencingToken,
    jobConditions: jobs,
    pages: writesOf(state, ids),
    completedJobs: done,
    cancelledJobs: [],
  };
}

/** Takes in that a transaction was carried out. */
export function onCommitted(
  state: ClusterState,
  transaction: Transaction,
  modRevision: number,
  now: Timestamp,
): void {
  for (const p of transaction.pages) {
    const page = state.records.pages.get(p.id);
    if (page === undefined) continue;
    page.modRevision = modRevision;
    page.committedVersion = Math.max(page.committedVersion, p.version);
    const since = state.records.dirtyPages.get(p.id);
    state.records.dirtyPages.delete(p.id);
    state.records.urgentPages.delete(p.id);
    if (page.version > page.committedVersion) state.records.dirtyPages.set(p.id, since ?? 0n);
    for (const chunk of p.chunks) chunk.committedVersion = Math.max(chunk.committedVersion, p.version);
    if (page.version > page.committedVersion && stillUrgent(state, p.id)) state.records.urgentPages.add(p.id);
  }
  const written = new Set(transaction.pages.map((page) => page.id));
  if (state.records.atomicPageGroups[0]?.every((id) => written.has(id)) === true)
    state.records.atomicPageGroups.shift();
  for (const id of transaction.cancelledJobs) {
    state.records.unrecordedCancellations.delete(id);
    const job = state.jobs.byId.get(id);
    if (job !== undefined) job.modRevision = Math.max(job.modRevision, modRevision);
  }
  for (const id of transaction.completedJobs) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    job.status = 'done';
    job.modRevision = Math.max(job.modRevision, modRevision);
    state.records.jobsToComplete.delete(id);
    job.unassignedTasks.clear();
    state.jobs.pending.delete(id);
    state.jobs.active.delete(id);
    state.jobs.finished.set(id, now.monotonic);
    state.jobs.fairSharesStale = true;
    releaseFinishedChunks(job);
    onJobFinished(state, id, 'done', now);
  }
}

/** What changed while the transaction was under way may be something that is waited for. */
function stillUrgent(state: ClusterState, id: number): boolean {
  if (startingIn(state, id).length > 0) return true;
  for (const chunk of state.records.pages.get(id)?.chunks ?? [])
    if (chunk.version > chunk.committedVersion && state.records.jobsToComplete.has(chunk.jobId)) return true;
  return false;
}
