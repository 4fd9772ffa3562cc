import { monotonicNow } from '../runtime/clock.js';
import type { Logger } from '../runtime/logger.js';
import type { ConnectionLimits } from '../config/connection-limits.js';

/** Nanoseconds for which workers go on taking turns after sockets were short. */
const TURNS_LAST = 60_000_000_000n;

/**
 * Counts the connections that are open to us, and decides what is shed when there are more than the settings allow:
 * first users take turns, then new users are refused, then workers take turns, and only then is a connection closed
 * unread. Workers come last because a lease that is not renewed costs tasks.
 */
export class InboundConnections {
  private count = 0;
  /** When sockets were last short of workers' connections; null: never. */
  private shortAt: bigint | null = null;

  constructor(
    private readonly shares: ConnectionLimits,
    private readonly logger: Logger,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  get open(): number {
    return this.count;
  }

  /** Takes in a connection; false: there is no socket for it. */
  admit(): boolean {
    if (this.count >= this.shares.inbound) return false;
    this.count += 1;
    return true;
  }

  release(): void {
    this.count -= 1;
  }

  /** Users' connections are closed after each answer. */
  get rotatesUsers(): boolean {
    return this.count > this.shares.rotateUsersAbove;
  }

  /** Users that come now are refused. */
  get refusesUsers(): boolean {
    return this.count > this.shares.userLimit;
  }

  /**
   * Workers' connections are closed after each answer: more workers than sockets are served one after the other. That
   * goes on for a while after sockets were last short. Ended at once, it would let connections fill up again to the
   * limit, where each pass of the core, in which nothing is taken in, has a burst of workers find no socket.
   */
  rotatesWorkers(): boolean {
    const now = this.clock();
    if (this.count > this.shares.rotateWorkersAbove) {
      if (this.shortAt === null)
        this.logger.warn(
          { open: this.count, sockets: this.shares.inbound },
          'more workers than sockets: their connections are closed after each answer',
        );
      this.shortAt = now;
    }
    return this.shortAt !== null && now - this.shortAt < TURNS_LAST;
  }
}
