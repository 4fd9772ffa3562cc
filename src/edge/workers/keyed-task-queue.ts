import { Subscription } from 'rxjs';

/** One piece of work; it must not reject. */
export type QueuedTask = () => Promise<void>;

/**
 * Runs tasks of one key one after the other, in the order in which they came, and those of different keys side by side.
 * Nothing is kept for a key without tasks, so that the keys that were ever used take no memory.
 */
export class KeyedTaskQueue {
  /** Tasks behind the one that runs, for each key that has one running. */
  private readonly waiting = new Map<string, QueuedTask[]>();
  private stopped = false;

  /** How many keys have a task that runs or waits. */
  get busyKeys(): number {
    return this.waiting.size;
  }

  push(key: string, task: QueuedTask): void {
    if (this.stopped) return;
    const queue = this.waiting.get(key);
    if (queue !== undefined) {
      queue.push(task);
      return;
    }
    const own: QueuedTask[] = [];
    this.waiting.set(key, own);
    void this.drain(key, task, own);
  }

  /** Ends with the returned subscription: what has not begun by then is dropped. */
  start(): Subscription {
    return new Subscription(() => {
      this.stopped = true;
      this.waiting.clear();
    });
  }

  private async drain(key: string, first: QueuedTask, queue: QueuedTask[]): Promise<void> {
    for (let task: QueuedTask | undefined = first; task !== undefined; task = queue.shift()) {
      await task();
      if (this.stopped) return;
    }
    this.waiting.delete(key);
  }
}
