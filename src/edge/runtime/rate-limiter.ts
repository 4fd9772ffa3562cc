/** @file A token bucket for calls to an outside system. It only counts; callers wait. */
import { monotonicNow } from './clock.js';

/** A constant rate with a small burst. */
export class RateLimiter {
  private tokens: number;
  private refilledAt = monotonicNow();

  constructor(
    public perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Takes `count` tokens and returns for how many milliseconds to wait before they are used (0: not at all). */
  take(count: number): number {
    const now = monotonicNow();
    const refill = (Number(now - this.refilledAt) / 1e9) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill) - count;
    this.refilledAt = now;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.perSecond) * 1000;
  }
}
