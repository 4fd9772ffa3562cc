/** @file A read that concurrent callers share, so that the request rate is bounded for any number of callers. */
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';

/**
 * A read that concurrent callers share. Callers that request it before it is sent share its result; later callers
 * wait for the next read, so that each result is at least as new as the call. Reads are sent at least `intervalMs`
 * apart.
 */
export class CoalescedRead<T> {
  /** The read that was requested and has not been sent yet. */
  private unsent: Promise<T> | null = null;
  private lastSentAt = 0n;

  constructor(
    private readonly intervalMs: number,
    private readonly read: () => Promise<T>,
  ) {}

  /** Returns the result of the next read that is sent. */
  request(): Promise<T> {
    this.unsent ??= this.run();
    return this.unsent;
  }

  private async run(): Promise<T> {
    // Always yields to the event loop, even if the interval has already elapsed. If `unsent` were cleared before
    // `request` has stored it, the finished read would stay there permanently, and every later request would receive
    // its old result.
    const pauseMs = this.intervalMs - millisecondsSince(this.lastSentAt);
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, pauseMs)));
    this.unsent = null;
    this.lastSentAt = monotonicNow();
    return this.read();
  }
}
