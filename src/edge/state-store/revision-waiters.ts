/** @file Waits until the replica has reached a revision. */

interface Waiter {
  readonly revision: number;
  readonly resolve: () => void;
}

/** Promises that are resolved when a revision is reached. Owns the timers of their timeouts. */
export class RevisionWaiters {
  private readonly waiters: Waiter[] = [];

  /** Resolves to true once the revision is reached. On timeout, calls `onTimeout` and then resolves to false. */
  wait(revision: number, timeoutMs: number, onTimeout: () => void): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) this.waiters.splice(index, 1);
        onTimeout();
        resolve(false);
      }, timeoutMs);
      const waiter: Waiter = {
        revision,
        resolve: () => {
          clearTimeout(timer);
          resolve(true);
        },
      };
      this.waiters.push(waiter);
    });
  }

  /** Resolves all waits for this revision or an earlier one. */
  resolveUpTo(revision: number): void {
    for (let index = this.waiters.length - 1; index >= 0; index--) {
      const waiter = this.waiters[index];
      if (waiter === undefined || waiter.revision > revision) continue;
      this.waiters.splice(index, 1);
      waiter.resolve();
    }
  }
}
