/** A steady allowance with a small burst; `take` tells how long to wait before spending. */
export class RateLimiter {
  private tokens: number;
  private at = process.hrtime.bigint();

  constructor(
    public perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Spends `n` and returns how many milliseconds to wait first (0: none). */
  take(n: number): number {
    const t = process.hrtime.bigint();
    this.tokens = Math.min(this.burst, this.tokens + (Number(t - this.at) / 1e9) * this.perSecond);
    this.at = t;
    this.tokens -= n;
    return this.tokens >= 0 ? 0 : (-this.tokens / this.perSecond) * 1000;
  }
}
