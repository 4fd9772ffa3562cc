import { interval, type Subject, type Subscription } from 'rxjs';
import { EndedJob, jobKey, parseKey, readJob } from '../../wire/records.js';
import type { Counts } from './task-counts.js';
import type { Change, Entry } from './state-store.js';

/** The part of the followed copy that is needed here. */
export interface FollowedCopy {
  readonly copy: ReadonlyMap<string, Entry>;
  readonly changes: Subject<Change>;
  /** The copy is being read anew: its keys are not of one revision. */
  readonly loading: boolean;
  /** Keeps another value in memory for a key; its stamp stays. */
  abridge(key: string, value: EndedJob): void;
}

const SWEEP_MS = 1000;

/**
 * Jobs that are over must be known for good, but their descriptions are of no more use once nothing of them is placed:
 * the copy then keeps how they ended and no more. Nothing about it is less fresh than the whole record was, since a job
 * that is over does not change.
 *
 * A job that has ended gets no new places (they are committed under its stamp), so a copy of one revision that shows
 * none shows that there are none. While the copy is read anew it proves nothing.
 */
export class EndedJobs {
  /** Ended jobs that are still held whole. */
  private readonly whole = new Set<string>();

  constructor(
    private readonly store: FollowedCopy,
    private readonly counts: Pick<Counts, 'of'>,
  ) {}

  /** Follows the copy until unsubscribed. */
  start(): Subscription {
    const routines = this.store.changes.subscribe(({ key, entry }) => {
      const parsed = parseKey(key);
      if (parsed.kind !== 'job' || entry === null) return;
      if (readJob(entry.value).status !== 'open') this.whole.add(parsed.id);
    });
    routines.add(interval(SWEEP_MS).subscribe(() => this.sweep()));
    return routines;
  }

  /** Abridges what may be abridged by now. */
  sweep(): void {
    if (this.store.loading) return;
    for (const id of this.whole) if (this.counts.of(id).placed === 0) this.abridge(id);
  }

  private abridge(id: string): void {
    this.whole.delete(id);
    const value = this.store.copy.get(jobKey(id))?.value;
    if (value === undefined || value instanceof EndedJob) return;
    const { spec, status: standing } = readJob(value);
    if (standing !== 'open')
      this.store.abridge(jobKey(id), new EndedJob(standing, spec.kind, spec.taskCount));
  }
}
