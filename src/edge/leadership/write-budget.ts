/**
 * @file The leader's share of the state store's write rate. It owns the rate limiter of the commit loop; it only
 * computes how long to wait and never writes.
 */
import { interval, type Subscription } from 'rxjs';
import { RateLimiter } from '../runtime/rate-limiter.js';

/**
 * Bounds on the leader's share of the write rate. Users' submissions and cancellations take precedence: the leader
 * leaves free the rate that they were observed to use, but always keeps the minimum share, so that assignments can
 * still be recorded.
 */
const MAX_SHARE = 0.8;
const MIN_SHARE = 0.5;
/** The share of the write rate that the leader and the users may use together. */
const TOTAL_SHARE = 0.95;
/** Factor that leaves room for users' writes to increase until the next rebalance. */
const USER_WRITE_HEADROOM = 1.25;
/** The newest interval's weight in the moving average of users' writes. */
const NEWEST_WEIGHT = 0.5;
const REBALANCE_INTERVAL_MS = 1000;
/** The limiter's burst, in seconds of the full write rate; it is at least as large as the largest transaction. */
const BURST_SECONDS = 0.5;

/** Divides the state store's write rate between users' writes and the leader's transactions. */
export class WriteBudget {
  private readonly limiter: RateLimiter;
  private userWrites = 0;
  private userWritesPerSecond = 0;

  constructor(
    /** The state store's write limit per second; lowered after a refusal for too many requests or writes. */
    private maxWritesPerSecond: number,
    maxTransactionOperations: number,
  ) {
    this.limiter = new RateLimiter(
      maxWritesPerSecond * MAX_SHARE,
      Math.max(maxTransactionOperations, maxWritesPerSecond * BURST_SECONDS),
    );
  }

  /** Adjusts the leader's share to the rate of users' writes until unsubscribed. */
  start(): Subscription {
    return interval(REBALANCE_INTERVAL_MS).subscribe(() => this.rebalance());
  }

  /** Takes operations from the budget and returns how many milliseconds to wait before they are written. */
  take(operations: number): number {
    return this.limiter.take(operations);
  }

  /** Records that a user's submission or cancellation was observed. */
  recordUserWrite(): void {
    this.userWrites += 1;
  }

  /** Lowers the write limit; a limit that is not lower than the current one is ignored. */
  lowerMaxWrites(perSecond: number): void {
    if (perSecond >= this.maxWritesPerSecond) return;
    this.maxWritesPerSecond = perSecond;
    this.rebalance();
  }

  private rebalance(): void {
    this.userWritesPerSecond =
      this.userWritesPerSecond * (1 - NEWEST_WEIGHT) + this.userWrites * NEWEST_WEIGHT;
    this.userWrites = 0;
    const total = this.maxWritesPerSecond;
    const availableToLeader = total * TOTAL_SHARE - this.userWritesPerSecond * USER_WRITE_HEADROOM;
    this.limiter.perSecond = Math.min(total * MAX_SHARE, Math.max(total * MIN_SHARE, availableToLeader));
  }
}
