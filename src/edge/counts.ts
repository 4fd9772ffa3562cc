import { countsIn, parseKey } from '../wire/records.js';
import type { Store } from './store.js';

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
    for (const [key, e] of store.copy) this.take(key, e.value);
    store.changes.subscribe((c) => this.take(c.key, c.entry?.value));
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
    const c = this.byJob.get(job) ?? { done: 0, placed: 0 };
    c.done += done;
    c.placed += placed;
    if (c.done === 0 && c.placed === 0) this.byJob.delete(job);
    else this.byJob.set(job, c);
  }
}
