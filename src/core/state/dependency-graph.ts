/** What becomes known when a job is added or ends. */
export interface GraphChange {
  /** Jobs whose last dependency is done by now. */
  readonly ready: readonly string[];
  /** Jobs that can never run, since a job that they need, directly or through others, was cancelled. */
  readonly cancelled: readonly string[];
}

const NOTHING: GraphChange = { ready: [], cancelled: [] };

/**
 * Which jobs wait for which. It takes jobs and their ends in any order, as they are read or followed, and costs constant
 * work for each dependency of a job, however many jobs there are.
 *
 * A cancellation passes on without a write of its own: a dependent of a cancelled job is cancelled by that fact alone.
 * None of its tasks can ever have started, since a job that was cancelled was never done.
 */
export class DependencyGraph {
  /** How jobs ended; cancelled ones include those cancelled through a dependency. */
  private readonly ended = new Map<string, 'done' | 'cancelled'>();
  /** Dependencies that are not done yet, of each job that waits. */
  private readonly unmet = new Map<string, Set<string>>();
  /** Unfinished jobs that need a job. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Dependencies looked at so far: tests count that the work does not grow with the number of jobs. */
  visitedDependencies = 0;

  /** Whether the job is cancelled, by its own user or through a dependency. */
  isCancelled(id: string): boolean {
    return this.ended.get(id) === 'cancelled';
  }

  /** Whether the job still waits for another. */
  isWaiting(id: string): boolean {
    return this.unmet.has(id);
  }

  /** Jobs known to need this one that neither ended nor became ready. */
  dependentsOf(id: string): Iterable<string> {
    return this.dependents.get(id) ?? [];
  }

  /** Takes in an unfinished job. */
  add(id: string, dependencies: readonly string[]): GraphChange {
    if (dependencies.length === 0 || this.ended.has(id) || this.unmet.has(id)) return NOTHING;
    const unmet = new Set<string>();
    for (const dependency of dependencies) {
      this.visitedDependencies += 1;
      const end = this.ended.get(dependency);
      if (end === 'cancelled') return this.markFinished(id, 'cancelled', true);
      if (end === undefined) unmet.add(dependency);
    }
    if (unmet.size === 0) return { ready: [id], cancelled: [] };
    this.unmet.set(id, unmet);
    for (const dependency of unmet) {
      const known = this.dependents.get(dependency);
      if (known === undefined) this.dependents.set(dependency, new Set([id]));
      else known.add(id);
    }
    return NOTHING;
  }

  /** Takes in that a job ended. `derived`: through a dependency, so that it is told among the cancelled. */
  markFinished(id: string, status: 'done' | 'cancelled', derived = false): GraphChange {
    if (this.ended.has(id)) return NOTHING;
    if (status === 'done') return { ready: this.markDone(id), cancelled: [] };
    const cancelled: string[] = derived ? [id] : [];
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      this.ended.set(next, 'cancelled');
      this.release(next);
      for (const dependent of this.dependents.get(next) ?? []) {
        this.visitedDependencies += 1;
        if (this.ended.has(dependent)) continue;
        this.ended.set(dependent, 'cancelled');
        cancelled.push(dependent);
        stack.push(dependent);
      }
      this.dependents.delete(next);
    }
    return { ready: [], cancelled };
  }

  private markDone(id: string): string[] {
    this.ended.set(id, 'done');
    this.release(id);
    const ready: string[] = [];
    for (const dependent of this.dependents.get(id) ?? []) {
      this.visitedDependencies += 1;
      const unmet = this.unmet.get(dependent);
      unmet?.delete(id);
      if (unmet?.size !== 0) continue;
      this.unmet.delete(dependent);
      ready.push(dependent);
    }
    this.dependents.delete(id);
    return ready;
  }

  /** The job needs nothing any more. */
  private release(id: string): void {
    for (const dependency of this.unmet.get(id) ?? []) {
      this.visitedDependencies += 1;
      this.dependents.get(dependency)?.delete(id);
    }
    this.unmet.delete(id);
  }
}
