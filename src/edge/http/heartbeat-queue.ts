/**
 * @file The queue of heartbeats that have been received completely and wait for their response. It decides when each
 * one is answered, and must not depend on the content of heartbeats or of their responses.
 */
import { monotonicNow } from '../runtime/clock.js';

/**
 * A batch of responses ends once it has taken this long (10 ms), so that the event loop continues. With less than a
 * whole core the time is proportionally shorter.
 */
const MAX_BATCH_NS = 10_000_000;
/**
 * If this many consecutive new connections are closed by their workers before it is their turn, the kernel's backlog is
 * stale.
 */
const STALE_BACKLOG_THRESHOLD = 32;

/**
 * Heartbeats that wait for their response, oldest first, at most one per connection. Node.js accepts one new connection
 * in each iteration of the event loop. When every heartbeat was answered as soon as it was read, an overloaded leader
 * ran a few dozen iterations per second, and workers that reconnected after a failover waited for longer than their
 * timeout of 4 s, gave up and connected again. Responses are therefore sent in short batches, so that the loop iterates
 * often. A heartbeat whose worker has disconnected in the meantime is dropped, because its response would reach nobody
 * and the worker's next heartbeat carries more information.
 */
export class HeartbeatQueue {
  /** The waiting heartbeats, oldest first, each with the number of batches completed when it was pushed. */
  private readonly waiting = new Map<() => void, number>();
  private completedBatches = 0;
  /** Number of consecutive new connections that were closed before it was their turn. */
  private consecutiveClosedConnections = 0;
  private nextBatch: NodeJS.Immediate | null = null;
  private readonly maxBatchNs: bigint;

  /** `coreShare` is the share of a core that the controller has; the length of a batch is proportional to it. */
  constructor(
    /** Called when new connections wait for longer than their workers' timeout. */
    private readonly onStaleBacklog: () => void = () => undefined,
    coreShare = 1,
    private readonly clock: () => bigint = monotonicNow,
    private readonly schedule: (run: () => void) => NodeJS.Immediate = setImmediate,
  ) {
    this.maxBatchNs = BigInt(Math.round(MAX_BATCH_NS * coreShare));
  }

  /** Number of waiting heartbeats. */
  get size(): number {
    return this.waiting.size;
  }

  /**
   * Adds a heartbeat; `respond` is called when it is its turn. Returns a function that removes it from the queue, to be
   * called once the connection is closed.
   */
  push(respond: () => void, firstOnConnection: boolean): () => void {
    const entry = (): void => {
      if (firstOnConnection) this.consecutiveClosedConnections = 0;
      respond();
    };
    this.waiting.set(entry, this.completedBatches);
    this.scheduleBatch();
    return () => {
      if (this.waiting.delete(entry) && firstOnConnection) this.countClosedConnection();
    };
  }

  private countClosedConnection(): void {
    this.consecutiveClosedConnections += 1;
    if (this.consecutiveClosedConnections < STALE_BACKLOG_THRESHOLD) return;
    this.consecutiveClosedConnections = 0;
    this.onStaleBacklog();
  }

  private scheduleBatch(): void {
    this.nextBatch ??= this.schedule(() => this.runBatch());
  }

  private runBatch(): void {
    this.nextBatch = null;
    const startedAt = this.clock();
    for (const [entry, batchesCompletedAtPush] of this.waiting) {
      // Heartbeats pushed since the last batch wait for the next one: by then a closed connection has been detected.
      if (batchesCompletedAtPush === this.completedBatches) break;
      this.waiting.delete(entry);
      entry();
      if (this.clock() - startedAt >= this.maxBatchNs) break;
    }
    this.completedBatches += 1;
    if (this.waiting.size > 0) this.scheduleBatch();
  }

  stop(): void {
    this.waiting.clear();
    if (this.nextBatch !== null) clearImmediate(this.nextBatch);
    this.nextBatch = null;
  }
}
