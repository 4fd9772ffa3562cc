import { DependencyGraph } from '../../core/state/dependency-graph.js';
import { FinishedJobSummary, parseKey, decodeJob } from '../../wire/records.js';
import type { ReplicaView } from './finished-job-compactor.js';
import type { ReplicaEntry } from './state-store.js';

/** Which jobs are cancelled through a job that they need, by the followed copy: as fresh as the copy is. */
export class DependencyIndex {
  private readonly graph = new DependencyGraph();

  constructor(stateStore: Pick<ReplicaView, 'replica' | 'changes'>) {
    for (const [key, entry] of stateStore.replica) this.take(key, entry);
    stateStore.changes.subscribe(({ key, entry }) => this.take(key, entry));
  }

  /** Whether the job was cancelled, by its user or through a dependency. */
  isCancelled(id: string): boolean {
    return this.graph.isCancelled(id);
  }

  private take(key: string, entry: ReplicaEntry | null): void {
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
