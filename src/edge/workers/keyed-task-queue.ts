/**
 * @file A queue of asynchronous tasks by key: serial within a key, concurrent across keys. It owns the waiting tasks;
 * it must never keep anything for an idle key.
 */
import { Subscription } from 'rxjs';

/** One task of a queue; it must not reject. */
export type QueuedTask = () => Promise<void>;

/**
 * Runs the tasks of one key one after the other, in the order in which they were pushed, and those of different keys
 * concurrently. Nothing is kept for a key without tasks, so keys used once take no memory.
 */
export class KeyedTaskQueue {
  /** Tasks behind the running one, for each key that has one running. */
  private readonly waiting = new Map<string, QueuedTask[]>();
  private readonly termination = new AbortController();

  /** How many keys have a running or waiting task. */
  get busyKeys(): number {
    return this.waiting.size;
  }

  /** Runs the task once the earlier ones of its key have ended; ignored after the end of the queue. */
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

  /** The queue ends with the returned subscription: tasks that have not begun by then are dropped. */
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
