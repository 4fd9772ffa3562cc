import { monotonicNow } from '../runtime/clock.js';

/**
 * A read shared by those who need it. Whoever comes before the read is sent shares it; whoever comes after waits for the next
 * one, so that each answer is at least as new as the request. Reads are sent at least `gapMs` apart.
 */
export class CoalescedRead<T> {
  private unsent: Promise<T> | null = null;
  private sentAt = 0n;

  constructor(
    private readonly gapMs: number,
    private readonly read: () => Promise<T>,
  ) {}

  request(): Promise<T> {
    this.unsent ??= this.run();
    return this.unsent;
  }

  private async run(): Promise<T> {
    // Always waits a turn, even with no gap to keep: clearing `unsent` before `ask` has stored it would leave the
    // finished read there for good, and every later request would be given its old answer.
    const gap = this.gapMs - Number(monotonicNow() - this.sentAt) / 1e6;
    await new Promise((r) => setTimeout(r, Math.max(0, gap)));
    this.unsent = null;
    this.sentAt = monotonicNow();
    return this.read();
  }
}
