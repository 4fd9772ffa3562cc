/**
 * @file Bounds the memory that finished jobs take: replaces their records in the replica with summaries. It writes
 * nothing to the state store.
 */
import { interval, type Subscription } from 'rxjs';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob } from '../../wire/job-record.js';
import { jobKey, parseKey } from '../../wire/keys.js';
import type { ReplicaView } from './replica-view.js';
import type { TaskCounts } from './task-counts.js';

const SWEEP_INTERVAL_MS = 1000;

/**
 * Finished jobs must be kept permanently, but their specs are no longer needed once none of their tasks is assigned:
 * the replica then keeps a summary. The summary is never older than the full record was, because a finished job does
 * not change.
 *
 * A finished job gets no new assignments, because assignments are committed on condition that the job's mod revision
 * is unchanged. Therefore, if all entries of the replica are from a single revision and show no assignments of the
 * job, there are none. While the replica is being loaded, its entries are not from a single revision and prove
 * nothing.
 */
export class FinishedJobCompactor {
  /** Finished jobs whose full record the replica still holds. */
  private readonly uncompactedJobs = new Set<string>();

  constructor(
    private readonly stateStore: ReplicaView,
    private readonly taskCounts: Pick<TaskCounts, 'of'>,
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

  /** Compacts the finished jobs that have no assigned tasks left. */
  sweep(): void {
    if (this.stateStore.reloading) return;
    for (const jobId of this.uncompactedJobs)
      if (this.taskCounts.of(jobId).assigned === 0) this.compact(jobId);
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
