/** @file The simulated state store: jobs, pages, the fencing token, and transactions under compare conditions. */
import assert from 'node:assert/strict';
import type { JobRecord } from '../../src/core/model/job.js';
import type { PageEntry } from '../../src/core/model/records.js';
import type { Transaction } from '../../src/core/model/transaction.js';

/** A stored job. */
export interface StoredJob {
  readonly record: JobRecord;
  readonly modRevision: number;
  /** When a user cancelled it, in simulated seconds, or null if none did. */
  readonly cancelledAt: number | null;
}

/** A stored page. */
interface StoredPage {
  readonly entries: readonly PageEntry[];
  readonly modRevision: number;
}

/** The state store. It checks that only correct results are committed. */
export class SimulatedStateStore {
  readonly jobs = new Map<string, StoredJob>();
  readonly pages = new Map<number, StoredPage>();
  revision = 1;
  /** The current leader's fencing token. */
  fencingToken = 0;
  /** Number of jobs that were committed as done. */
  completedCount = 0;

  /** Returns a new fencing token, which is higher than all earlier ones, for the current leader. */
  advanceFencingToken(): number {
    this.revision += 1;
    this.fencingToken = this.revision;
    return this.fencingToken;
  }

  /** Writes a job as a controller does for a user. Returns its mod revision. */
  putJob(id: string, record: JobRecord, cancelledAt: number | null): number {
    const modRevision = ++this.revision;
    this.jobs.set(id, { record, modRevision, cancelledAt });
    return modRevision;
  }

  /** Returns the entries of a job in all pages. */
  pageEntriesOf(jobId: string): PageEntry[] {
    return [...this.pages.values()].flatMap((page) => page.entries.filter((entry) => entry.jobId === jobId));
  }

  /** Returns the mod revision of a page, 0 if it does not exist. */
  pageRevision(id: number): number {
    return this.pages.get(id)?.modRevision ?? 0;
  }

  /** True if the jobs of a transaction have the status that it gives them. */
  isApplied({ completedJobs, cancelledJobs }: Transaction): boolean {
    const statusOf = (id: string): string | undefined => this.jobs.get(id)?.record.status;
    return (
      completedJobs.every((id) => statusOf(id) === 'done') &&
      cancelledJobs.every((id) => statusOf(id) === 'cancelled')
    );
  }

  /** Applies a transaction. Returns its revision, or null if a compare condition fails. */
  applyTransaction(transaction: Transaction): number | null {
    if (transaction.fencingToken !== this.fencingToken) return null;
    for (const [id, modRevision] of transaction.jobConditions)
      if (this.jobs.get(id)?.modRevision !== modRevision) return null;
    for (const page of transaction.pages) if (this.pageRevision(page.id) !== page.modRevision) return null;
    const modRevision = ++this.revision;
    for (const page of transaction.pages) this.pages.set(page.id, { entries: page.entries, modRevision });
    for (const id of transaction.completedJobs) this.completeJob(id, modRevision);
    for (const id of transaction.cancelledJobs) this.cancelDependent(id, modRevision);
    return modRevision;
  }

  private completeJob(id: string, modRevision: number): void {
    const job = this.openJob(id);
    const resultCount = this.pageEntriesOf(id)
      .flatMap((entry) => entry.record.completedTasks)
      .reduce((count, { first, last }) => count + last - first + 1, 0);
    assert.equal(resultCount, job.record.spec.taskCount, 'done is committed only with all results');
    this.jobs.set(id, { ...job, record: { ...job.record, status: 'done' }, modRevision });
    this.completedCount += 1;
  }

  private cancelDependent(id: string, modRevision: number): void {
    const job = this.openJob(id);
    assert.ok(this.dependsOnCancelled(id), 'only dependents of a cancelled job are cancelled');
    this.jobs.set(id, { ...job, record: { ...job.record, status: 'cancelled' }, modRevision });
  }

  private openJob(id: string): StoredJob {
    const job = this.jobs.get(id);
    assert.ok(job !== undefined && job.record.status === 'open');
    return job;
  }

  private dependsOnCancelled(id: string): boolean {
    return (this.jobs.get(id)?.record.spec.dependencies ?? []).some(
      (dependencyId) =>
        this.jobs.get(dependencyId)?.record.status === 'cancelled' || this.dependsOnCancelled(dependencyId),
    );
  }
}
