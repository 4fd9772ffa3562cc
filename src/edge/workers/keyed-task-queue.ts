/**
 * @file A queue of asynchronous tasks by key: serial within a key, concurrent across keys. It owns the queued tasks;
 * it must never store anything for an idle key.
 */
import { Subscription } from 'rxjs';

/** One task of a queue; it must not reject. */
export type QueuedTask = () => Promise<void>;

/**
 * Runs the tasks of one key one after the other, in the order in which they were pushed, and the tasks of different
 * keys concurrently. Nothing is stored for a key without tasks, so keys that are used only once take no memory.
 */
export class KeyedTaskQueue {
  /** Queued tasks by key. A key has an entry while one of its tasks is running. */
  private readonly waiting = new Map<string, QueuedTask[]>();
  private readonly termination = new AbortController();

  /** Number of keys with a running or queued task. */
  get busyKeys(): number {
    return this.waiting.size;
  }

  /** Runs the task after the earlier tasks of its key have ended; does nothing after the end of the queue. */
  push(key: string, task: QueuedTask): void {
    if (this.termination.signal.aborted) return;
    const queue = this.waiting.get(key);
    if (queue !== undefined) {
      queue.push(task);
      return;
    }
    const queued: QueuedTask[] = [];
    this.waiting.set(key, queued);
    void this.drain(key, task, queued);
  }

  /** Returns the subscription that ends the queue: tasks that have not started by then are dropped. */
  start(): Subscription {
    return new Subscription(() => {
      this.termination.abort();
      this.waiting.clear();
    });
  }

  private async drain(key: string, first: QueuedTask, queue: QueuedTask[]): Promise<void> {
    for (let task: QueuedTask | undefined = first; task !== undefined; task = queue.shift()) {
      await task();
      if (this.termination.signal.aborted) return;
    }
    this.waiting.delete(key);
  }
}
