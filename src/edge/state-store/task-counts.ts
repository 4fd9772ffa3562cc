/** @file Counts the completed and assigned tasks of each job, updated as pages of the replica change. */
import { parseKey } from '../../wire/keys.js';
import { taskCountsIn, type ChunkTaskCount } from '../../wire/page-record.js';
import type { ReplicaEntries } from './replica-view.js';

/** Numbers of completed and assigned tasks of a job. */
export interface TaskCount {
  readonly completed: number;
  readonly assigned: number;
}

const NO_TASKS: TaskCount = { completed: 0, assigned: 0 };

/** The task counts of all jobs. The cost of a lookup does not depend on the number of pages. */
export class TaskCounts {
  /** Jobs without a counted task have no entry. */
  private readonly byJob = new Map<string, { completed: number; assigned: number }>();
  /** By page, the sum of the counts of each job's chunks. */
  private readonly byPage = new Map<string, readonly ChunkTaskCount[]>();

  constructor(stateStore: ReplicaEntries) {
    for (const [key, entry] of stateStore.replica) this.update(key, entry.value);
    stateStore.changes.subscribe((change) => this.update(change.key, change.entry?.value));
  }

  /** Returns the counts of a job; zero if the replica's pages contain nothing of it. */
  of(jobId: string): TaskCount {
    return this.byJob.get(jobId) ?? NO_TASKS;
  }

  private update(key: string, value: unknown): void {
    if (parseKey(key).kind !== 'page') return;
    const counts = sumByJob(taskCountsIn(value));
    for (const { jobId, completed, assigned } of this.byPage.get(key) ?? [])
      this.add(jobId, -completed, -assigned);
    for (const { jobId, completed, assigned } of counts) this.add(jobId, completed, assigned);
    this.byPage.set(key, counts);
  }

  private add(jobId: string, completed: number, assigned: number): void {
    const count = this.byJob.get(jobId) ?? { completed: 0, assigned: 0 };
    count.completed += completed;
    count.assigned += assigned;
    if (count.completed === 0 && count.assigned === 0) this.byJob.delete(jobId);
    else this.byJob.set(jobId, count);
  }
}

/** Returns one count for each job. A page may hold many chunks of one job. */
function sumByJob(counts: readonly ChunkTaskCount[]): ChunkTaskCount[] {
  const sums = new Map<string, ChunkTaskCount>();
  for (const { jobId, completed, assigned } of counts) {
    const sum = sums.get(jobId);
    sums.set(jobId, {
      jobId,
      completed: completed + (sum?.completed ?? 0),
      assigned: assigned + (sum?.assigned ?? 0),
    });
  }
  return [...sums.values()];
}
