import { countsIn, parseKey } from '../../wire/records.js';
import type { Store } from './state-store.js';

/** How many tasks of a job are done and placed. */
export interface Count {
  done: number;
  placed: number;
}

const NONE: Count = { done: 0, placed: 0 };

/** How many tasks of each job are done and placed, kept up as pages change: asking costs the same however many there are. */
export class Counts {
  private readonly byJob = new Map<string, Count>();
  private readonly byPage = new Map<string, readonly { job: string; done: number; placed: number }[]>();

  constructor(store: Store) {
    for (const [key, entry] of store.copy) this.take(key, entry.value);
    store.changes.subscribe((change) => this.take(change.key, change.entry?.value));
  }

  of(job: string): Readonly<Count> {
    return this.byJob.get(job) ?? NONE;
  }

  private take(key: string, value: unknown): void {
    if (parseKey(key).kind !== 'page') return;
    const now = countsIn(value);
    for (const c of this.byPage.get(key) ?? []) this.add(c.job, -c.done, -c.placed);
    for (const c of now) this.add(c.job, c.done, c.placed);
    this.byPage.set(key, now);
  }

  private add(job: string, done: number, placed: number): void {
    const count = this.byJob.get(job) ?? { done: 0, placed: 0 };
    count.done += done;
    count.placed += placed;
    if (count.done === 0 && count.placed === 0) this.byJob.delete(job);
    else this.byJob.set(job, count);
  }
}
