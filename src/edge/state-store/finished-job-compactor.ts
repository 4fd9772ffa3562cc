/** @file Bounds the memory of finished jobs: replaces their records in the replica by summaries. It writes nothing. */
import { interval, type Subscription } from 'rxjs';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob } from '../../wire/job-record.js';
import { jobKey, parseKey } from '../../wire/keys.js';
import type { ReplicaView } from './replica-view.js';
import type { TaskCounts } from './task-counts.js';

const SWEEP_INTERVAL_MS = 1000;

/**
 * Finished jobs must be known for good, but their specs are of no more use once none of their tasks is assigned: the
 * replica then keeps a summary. Nothing about it is older than the whole record was, since a finished job does not
 * change.
 *
 * A finished job gets no new assignments (they are committed under its mod revision), so a replica of one revision that
 * shows none proves that there are none. While the replica is loaded again it proves nothing.
 */
export class FinishedJobCompactor {
  /** Finished jobs whose whole record is still held. */
  private readonly uncompactedJobs = new Set<string>();

  constructor(
    private readonly stateStore: ReplicaView,
    private readonly counts: Pick<TaskCounts, 'of'>,
  ) {}

  /** Watches the replica until unsubscribed. */
  start(): Subscription {
    const subscription = this.stateStore.changes.subscribe(({ key, entry }) => {
      const parsed = parseKey(key);
      if (parsed.kind !== 'job' || entry === null) return;
      if (decodeJob(entry.value).status !== 'open') this.uncompactedJobs.add(parsed.id);
    });
    subscription.add(interval(SWEEP_INTERVAL_MS).subscribe(() => this.sweep()));
    return subscription;
  }

  /** Compacts the finished jobs of which no task is assigned any more. */
  sweep(): void {
    if (this.stateStore.reloading) return;
    for (const jobId of this.uncompactedJobs) if (this.counts.of(jobId).assigned === 0) this.compact(jobId);
  }

  private compact(jobId: string): void {
    this.uncompactedJobs.delete(jobId);
    const key = jobKey(jobId);
    const value = this.stateStore.replica.get(key)?.value;
    if (value === undefined || value instanceof FinishedJobSummary) return;
    const { spec, status } = decodeJob(value);
    if (status === 'open') return;
    this.stateStore.replaceWithSummary(key, new FinishedJobSummary(status, spec.kind, spec.taskCount));
  }
}
