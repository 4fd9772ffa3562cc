/**
 * @file Determines from the replica which jobs are cancelled, by their users or because a job that they depend on was
 * cancelled.
 */
import { DependencyGraph } from '../../core/state/dependency-graph.js';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob } from '../../wire/job-record.js';
import { parseKey } from '../../wire/keys.js';
import type { ReplicaEntries, ReplicaEntry } from './replica-view.js';

/** The dependency graph of the replica's jobs, updated with every change of the replica. */
export class DependencyIndex {
  private readonly graph = new DependencyGraph();

  constructor(stateStore: ReplicaEntries) {
    for (const [key, entry] of stateStore.replica) this.update(key, entry);
    stateStore.changes.subscribe(({ key, entry }) => this.update(key, entry));
  }

  /** True if the job was cancelled, by its user or through a dependency. */
  isCancelled(jobId: string): boolean {
    return this.graph.isCancelled(jobId);
  }

  private update(key: string, entry: ReplicaEntry | null): void {
    const parsed = parseKey(key);
    if (parsed.kind !== 'job' || entry === null) return;
    if (entry.value instanceof FinishedJobSummary) {
      this.graph.markFinished(parsed.id, entry.value.status);
      return;
    }
    const { spec, status } = decodeJob(entry.value);
    if (status === 'open') this.graph.add(parsed.id, spec.dependencies);
    else this.graph.markFinished(parsed.id, status);
  }
}
