import { taskCountsIn, parseKey } from '../../wire/records.js';
import type { StateStore } from './state-store.js';

/** How many tasks of a job are done and placed. */
export interface TaskCount {
  completed: number;
  assigned: number;
}

const NONE: TaskCount = { completed: 0, assigned: 0 };

/** How many tasks of each job are done and placed, kept up as pages change: asking costs the same however many there are. */
export class TaskCounts {
  private readonly byJob = new Map<string, TaskCount>();
  private readonly byPage = new Map<string, readonly { job: string; done: number; placed: number }[]>();

  constructor(stateStore: StateStore) {
    for (const [key, entry] of stateStore.replica) this.take(key, entry.value);
    stateStore.changes.subscribe((change) => this.take(change.key, change.entry?.value));
  }

  of(job: string): Readonly<TaskCount> {
    return this.byJob.get(job) ?? NONE;
  }

  private take(key: string, value: unknown): void {
    if (parseKey(key).kind !== 'page') return;
    const now = taskCountsIn(value);
    for (const c of this.byPage.get(key) ?? []) this.add(c.job, -c.done, -c.placed);
    for (const c of now) this.add(c.job, c.done, c.placed);
    this.byPage.set(key, now);
  }

  private add(job: string, done: number, placed: number): void {
    const count = this.byJob.get(job) ?? { completed: 0, assigned: 0 };
    count.completed += done;
    count.assigned += placed;
    if (count.completed === 0 && count.assigned === 0) this.byJob.delete(job);
    else this.byJob.set(job, count);
  }
}
