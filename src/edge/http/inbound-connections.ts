/**
 * @file Counts the inbound connections and decides what is shed when there are more than the settings allow. It opens
 * and closes none itself.
 */
import type { Socket } from 'node:net';
import type { ConnectionLimits } from '../config/connection-limits.js';
import { monotonicNow } from '../runtime/clock.js';
import type { Logger } from '../runtime/logger.js';

/** For how long workers' connections are rotated after the limit was last exceeded. */
const WORKER_ROTATION_NS = 60_000_000_000n;

/**
 * Sheds in this order: users' connections are rotated, then new users refused, then workers' connections rotated, and
 * only then is a connection closed unread. Workers come last because a lease that is not renewed costs tasks.
 */
export class InboundConnections {
  private count = 0;
  /** When there were last too many connections to keep workers' open; null: never. */
  private overLimitAt: bigint | null = null;
  /** Users' connections that were opened above the limit. */
  private readonly overUserLimit = new WeakSet<Socket>();

  constructor(
    private readonly limits: ConnectionLimits,
    private readonly logger: Logger,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  get open(): number {
    return this.count;
  }

  /** Counts a new connection; false: there is no socket for it. */
  admit(): boolean {
    if (this.count >= this.limits.inbound) return false;
    this.count += 1;
    return true;
  }

  release(): void {
    this.count -= 1;
  }

  /** Users' connections are closed after each response. */
  get rotatesUserConnections(): boolean {
    return this.count > this.limits.rotateUsersAbove;
  }

  /** Users that connect now are refused. */
  get refusesNewUsers(): boolean {
    return this.count > this.limits.userLimit;
  }

  /** Has all requests on a user's connection refused. */
  markOverUserLimit(socket: Socket): void {
    this.overUserLimit.add(socket);
  }

  isOverUserLimit(socket: Socket): boolean {
    return this.overUserLimit.has(socket);
  }

  /**
   * Workers' connections are closed after each response: more workers than sockets are served one after the other. That
   * goes on for a while after the limit was last exceeded. Ended at once, it would let connections fill up again to the
   * limit, where each scheduling cycle, in which no connection is accepted, has a burst of workers find no socket.
   */
  rotatesWorkerConnections(): boolean {
    const now = this.clock();
    if (this.count > this.limits.rotateWorkersAbove) {
      if (this.overLimitAt === null)
        this.logger.warn(
          { openConnections: this.count, inboundLimit: this.limits.inbound },
          'worker connections over limit, rotating',
        );
      this.overLimitAt = now;
    }
    return this.overLimitAt !== null && now - this.overLimitAt < WORKER_ROTATION_NS;
  }
}
