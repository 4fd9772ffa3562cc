import { interval, type Subject, type Subscription } from 'rxjs';
import { FinishedJobSummary, jobKey, parseKey, decodeJob } from '../../wire/records.js';
import type { TaskCounts } from './task-counts.js';
import type { KeyChange, ReplicaEntry } from './state-store.js';

/** The part of the followed copy that is needed here. */
export interface ReplicaView {
  readonly replica: ReadonlyMap<string, ReplicaEntry>;
  readonly changes: Subject<KeyChange>;
  /** The copy is being read anew: its keys are not of one revision. */
  readonly reloading: boolean;
  /** Keeps another value in memory for a key; its stamp stays. */
  replaceWithSummary(key: string, value: FinishedJobSummary): void;
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
export class FinishedJobCompactor {
  /** Ended jobs that are still held whole. */
  private readonly whole = new Set<string>();

  constructor(
    private readonly stateStore: ReplicaView,
    private readonly counts: Pick<TaskCounts, 'of'>,
  ) {}

  /** Follows the copy until unsubscribed. */
  start(): Subscription {
    const routines = this.stateStore.changes.subscribe(({ key, entry }) => {
      const parsed = parseKey(key);
      if (parsed.kind !== 'job' || entry === null) return;
      if (decodeJob(entry.value).status !== 'open') this.whole.add(parsed.id);
    });
    routines.add(interval(SWEEP_MS).subscribe(() => this.sweep()));
    return routines;
  }

  /** Abridges what may be abridged by now. */
  sweep(): void {
    if (this.stateStore.reloading) return;
    for (const id of this.whole) if (this.counts.of(id).assigned === 0) this.abridge(id);
  }

  private abridge(id: string): void {
    this.whole.delete(id);
    const value = this.stateStore.replica.get(jobKey(id))?.value;
    if (value === undefined || value instanceof FinishedJobSummary) return;
    const { spec, status } = decodeJob(value);
    if (status !== 'open')
      this.stateStore.replaceWithSummary(
        jobKey(id),
        new FinishedJobSummary(status, spec.kind, spec.taskCount),
      );
  }
}
