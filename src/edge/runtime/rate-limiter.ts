/** @file A token bucket for calls to an external system. It only counts tokens; its callers wait. */
import { monotonicNow } from './clock.js';

/** Limits calls to a constant rate with a small burst. */
export class RateLimiter {
  private tokens: number;
  private refilledAt = monotonicNow();

  constructor(
    public perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /**
   * Takes `count` tokens. Returns how many milliseconds the caller must wait before using them, or 0 if it need not.
   */
  take(count: number): number {
    const now = monotonicNow();
    const refill = (Number(now - this.refilledAt) / 1e9) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill) - count;
    this.refilledAt = now;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.perSecond) * 1000;
  }
}
