/**
 * @file Counts inbound connections and decides which ones are rotated or refused as their number approaches what the
 * settings allow. It does not open or close connections itself.
 */
import type { Socket } from 'node:net';
import type { ConnectionLimits } from '../config/connection-limits.js';
import { monotonicNow } from '../runtime/clock.js';
import type { Logger } from '../runtime/logger.js';

/** How long worker connections are rotated after `rotateWorkersAbove` was last exceeded. */
const WORKER_ROTATION_NS = 60_000_000_000n;

/**
 * Sheds load in this order: rotates user connections, then refuses new users, then rotates worker connections, and only
 * then closes new connections unread. Workers come last because a worker lease that is not renewed costs tasks.
 */
export class InboundConnections {
  private count = 0;
  /** The last time when there were more than `rotateWorkersAbove` connections, or null if there never were. */
  private overLimitAt: bigint | null = null;
  /** User connections that were opened above the limit. */
  private readonly overUserLimit = new WeakSet<Socket>();

  constructor(
    private readonly limits: ConnectionLimits,
    private readonly logger: Logger,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  get open(): number {
    return this.count;
  }

  /** Counts a new connection. Returns false, and does not count it, if there is no socket for it. */
  admit(): boolean {
    if (this.count >= this.limits.inbound) return false;
    this.count += 1;
    return true;
  }

  release(): void {
    this.count -= 1;
  }

  /** True if user connections are closed after each response. */
  get rotatesUserConnections(): boolean {
    return this.count > this.limits.rotateUsersAbove;
  }

  /** True if users that connect now are refused. */
  get refusesNewUsers(): boolean {
    return this.count > this.limits.userLimit;
  }

  /** Marks a user connection, so that all requests on it are refused. */
  markOverUserLimit(socket: Socket): void {
    this.overUserLimit.add(socket);
  }

  isOverUserLimit(socket: Socket): boolean {
    return this.overUserLimit.has(socket);
  }

  /**
   * Returns true if worker connections are closed after each response, so that more workers than there are sockets can
   * be served one after the other. Rotation continues for 60 s after the limit was last exceeded. If it stopped at
   * once, connections would fill up to the limit again, and each scheduling cycle, during which no connection is
   * accepted, would then leave a burst of workers without a socket.
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
