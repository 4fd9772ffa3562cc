/** @file A read that is shared by concurrent callers, so that any number of them costs a bounded rate of requests. */
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';

/**
 * A read that concurrent callers share. Whoever calls before the read is sent shares it; whoever calls after waits for
 * the next one, so that each result is at least as new as the call. Reads are sent at least `intervalMs` apart.
 */
export class CoalescedRead<T> {
  /** The read that is due and not sent yet. */
  private unsent: Promise<T> | null = null;
  private lastSentAt = 0n;

  constructor(
    private readonly intervalMs: number,
    private readonly read: () => Promise<T>,
  ) {}

  /** The result of the next read that is sent. */
  request(): Promise<T> {
    this.unsent ??= this.run();
    return this.unsent;
  }

  private async run(): Promise<T> {
    // Always waits a turn, even with no interval to keep: clearing `unsent` before `request` has stored it would leave
    // the finished read there for good, and every later request would be given its old result.
    const pauseMs = this.intervalMs - millisecondsSince(this.lastSentAt);
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, pauseMs)));
    this.unsent = null;
    this.lastSentAt = monotonicNow();
    return this.read();
  }
}
