/**
 * @file The heartbeats that were received whole and wait for their response. It decides when each is answered, and must
 * not know what a heartbeat says or how it is answered.
 */
import { monotonicNow } from '../runtime/clock.js';

/** The longest that heartbeats are answered without a return to the event loop, on a whole core. */
const MAX_BATCH_NS = 10_000_000;
/** So many new connections in a row whose worker had given up when its turn came: the kernel's backlog is stale. */
const STALE_BACKLOG_THRESHOLD = 32;

/**
 * Heartbeats that wait for their response, the oldest first, at most one of each connection. The engine accepts one new
 * connection in each iteration of the event loop: with every heartbeat answered as it was read, an overloaded leader ran
 * a few dozen iterations a second, and workers that reconnected after a failover waited for longer than their timeout of
 * 4 s, gave up and connected again. Responses are given in short batches, so that the loop iterates often; a heartbeat
 * whose worker has disconnected meanwhile is dropped, since its response would reach nobody and its next one says more.
 */
export class HeartbeatQueue {
  /** What waits, oldest first, with the number of the batch before which it was pushed. */
  private readonly waiting = new Map<() => void, number>();
  private completedBatches = 0;
  /** New connections in a row that were found closed when their turn came. */
  private consecutiveClosedConnections = 0;
  private nextBatch: NodeJS.Immediate | null = null;
  private readonly maxBatchNs: bigint;

  /** `coreShare`: batches are as much shorter as the share of a core is smaller. */
  constructor(
    /** New connections wait for longer than their workers' timeout. */
    private readonly onStaleBacklog: () => void = () => undefined,
    coreShare = 1,
    private readonly clock: () => bigint = monotonicNow,
    private readonly schedule: (run: () => void) => NodeJS.Immediate = setImmediate,
  ) {
    this.maxBatchNs = BigInt(Math.round(MAX_BATCH_NS * coreShare));
  }

  /** How many wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** Has `respond` called when its turn comes; returns what withdraws it, to be called once the connection is closed. */
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
    for (const [entry, pushedBeforeBatch] of this.waiting) {
      // What came since the last batch waits for the next: by then a closed connection has been noticed.
      if (pushedBeforeBatch === this.completedBatches) break;
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
