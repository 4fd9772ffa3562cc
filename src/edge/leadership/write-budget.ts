/**
 * @file The leader's share of the state store's write rate. It owns the rate limiter of the commit loop; it only says
 * how long to wait and never writes.
 */
import { interval, type Subscription } from 'rxjs';
import { RateLimiter } from '../runtime/rate-limiter.js';

/**
 * The leader's share of the write rate. Users' submissions and cancellations go first: the rate that they were seen to
 * take is left free, but never so much that no assignment is recorded any more.
 */
const MAX_SHARE = 0.8;
const MIN_SHARE = 0.5;
/** What the leader and the users may take together. */
const TOTAL_SHARE = 0.95;
/** Room for users' writes to grow until the next rebalance. */
const USER_WRITE_HEADROOM = 1.25;
/** The newest interval's weight in the moving average of users' writes. */
const NEWEST_WEIGHT = 0.5;
const REBALANCE_INTERVAL_MS = 1000;
/** The limiter's burst, as seconds of the whole write rate. */
const BURST_SECONDS = 0.5;

/** Divides the state store's write rate between users' writes and the leader's transactions. */
export class WriteBudget {
  private readonly limiter: RateLimiter;
  private userWrites = 0;
  private userWritesPerSecond = 0;

  constructor(
    /** What the state store takes; less once it has refused a transaction for too many writes. */
    private maxWritesPerSecond: number,
    maxTransactionOperations: number,
  ) {
    this.limiter = new RateLimiter(
      maxWritesPerSecond * MAX_SHARE,
      Math.max(maxTransactionOperations, maxWritesPerSecond * BURST_SECONDS),
    );
  }

  /** Follows the rate of users' writes until unsubscribed. */
  start(): Subscription {
    return interval(REBALANCE_INTERVAL_MS).subscribe(() => this.rebalance());
  }

  /** Spends some operations and returns how many milliseconds to wait before writing them. */
  take(operations: number): number {
    return this.limiter.take(operations);
  }

  /** A submission or cancellation by a user was seen. */
  recordUserWrite(): void {
    this.userWrites += 1;
  }

  /** Lowers what the state store takes; a higher rate than the present one is ignored. */
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
