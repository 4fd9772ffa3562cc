/**
 * @file The dependencies between jobs. It owns the dependency edges and the final statuses of jobs. A change of a job
 * must visit only the edges of that job, never other jobs.
 */

/** Jobs that become ready or cancelled when a job is added or finishes. */
export interface GraphChange {
  /** Jobs whose last dependency is now done. */
  readonly ready: readonly string[];
  /** Jobs that can never run, because a direct or indirect dependency was cancelled. */
  readonly cancelled: readonly string[];
}

const NO_CHANGE: GraphChange = { ready: [], cancelled: [] };

/**
 * The dependency graph of all jobs. Jobs and their final statuses may be added in any order, as they are read or
 * watched. The work for each dependency of a job is constant and does not depend on the number of jobs.
 *
 * A cancellation propagates without a separate write: a dependent of a cancelled job counts as cancelled. None of its
 * tasks can have started, because a job that was cancelled was never done.
 */
export class DependencyGraph {
  /** Final statuses of jobs. Cancelled jobs include those cancelled through a dependency. */
  private readonly finished = new Map<string, 'done' | 'cancelled'>();
  /** Dependencies that are not done yet, by waiting job. */
  private readonly unmetDependencies = new Map<string, Set<string>>();
  /** Unfinished dependents, by job. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Number of dependencies visited. Tests check that the work does not grow with the number of jobs. */
  visitedDependencies = 0;

  /** Whether the job is cancelled, by its user or through a dependency. */
  isCancelled(id: string): boolean {
    return this.finished.get(id) === 'cancelled';
  }

  /** Whether the job still waits for a dependency. */
  isWaiting(id: string): boolean {
    return this.unmetDependencies.has(id);
  }

  /** Dependents of the job that have neither finished nor become ready. */
  dependentsOf(id: string): Iterable<string> {
    return this.dependents.get(id) ?? [];
  }

  /** Adds an unfinished job. */
  add(id: string, dependencies: readonly string[]): GraphChange {
    if (dependencies.length === 0 || this.finished.has(id) || this.unmetDependencies.has(id))
      return NO_CHANGE;
    const unmet = new Set<string>();
    for (const dependency of dependencies) {
      this.visitedDependencies += 1;
      const status = this.finished.get(dependency);
      if (status === 'cancelled') return this.markFinished(id, 'cancelled', true);
      if (status === undefined) unmet.add(dependency);
    }
    if (unmet.size === 0) return { ready: [id], cancelled: [] };
    this.unmetDependencies.set(id, unmet);
    for (const dependency of unmet) {
      const dependents = this.dependents.get(dependency);
      if (dependents === undefined) this.dependents.set(dependency, new Set([id]));
      else dependents.add(id);
    }
    return NO_CHANGE;
  }

  /**
   * Records the final status of a job. `viaDependency` means that it was cancelled through a dependency; the job itself
   * is then among the cancelled jobs returned.
   */
  markFinished(id: string, status: 'done' | 'cancelled', viaDependency = false): GraphChange {
    if (this.finished.has(id)) return NO_CHANGE;
    if (status === 'done') return { ready: this.markDone(id), cancelled: [] };
    return { ready: [], cancelled: this.markCancelled(id, viaDependency) };
  }

  /** Cancels the job and all its direct and indirect dependents; returns those cancelled through a dependency. */
  private markCancelled(id: string, viaDependency: boolean): string[] {
    const cancelled: string[] = viaDependency ? [id] : [];
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      this.finished.set(next, 'cancelled');
      this.removeEdgesOf(next);
      for (const dependent of this.dependents.get(next) ?? []) {
        this.visitedDependencies += 1;
        if (this.finished.has(dependent)) continue;
        this.finished.set(dependent, 'cancelled');
        cancelled.push(dependent);
        stack.push(dependent);
      }
      this.dependents.delete(next);
    }
    return cancelled;
  }

  /** Records that the job is done; returns the jobs that become ready. */
  private markDone(id: string): string[] {
    this.finished.set(id, 'done');
    this.removeEdgesOf(id);
    const ready: string[] = [];
    for (const dependent of this.dependents.get(id) ?? []) {
      this.visitedDependencies += 1;
      const unmet = this.unmetDependencies.get(dependent);
      unmet?.delete(id);
      if (unmet?.size !== 0) continue;
      this.unmetDependencies.delete(dependent);
      ready.push(dependent);
    }
    this.dependents.delete(id);
    return ready;
  }

  /** Removes the job's edges to its unmet dependencies, for which it no longer waits. */
  private removeEdgesOf(id: string): void {
    for (const dependency of this.unmetDependencies.get(id) ?? []) {
      this.visitedDependencies += 1;
      this.dependents.get(dependency)?.delete(id);
    }
    this.unmetDependencies.delete(id);
  }
}
