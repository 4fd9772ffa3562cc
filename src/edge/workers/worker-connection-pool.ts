/**
 * @file The pool of connections to workers: one client per endpoint, with a limit on the clients that are kept and on
 * the requests in flight. It owns the clients and closes them; it does not depend on what is sent.
 */
import { HttpClient } from '../net/http-client.js';
import type { RequestOutcome } from '../net/http-connection.js';

/** The client of one worker, which holds at most one connection. */
interface WorkerClient {
  readonly client: HttpClient;
  requestsInFlight: number;
}

/** One request to a worker. */
export interface WorkerRequest {
  readonly path: string;
  readonly body: unknown;
  readonly timeoutMs: number;
}

/**
 * Keeps one connection per worker open between requests. Beyond `maxConnections`, the least recently used idle
 * connections are closed, because a large fleet would take all sockets of the process.
 */
export class WorkerConnectionPool {
  /** By endpoint, the least recently used first. */
  private readonly clients = new Map<string, WorkerClient>();
  private slotsInUse = 0;
  private readonly slotWaiters: (() => void)[] = [];

  constructor(private readonly maxConnections: number) {}

  /** True if at least half of the slots are in use. */
  get isHalfFull(): boolean {
    return this.slotsInUse * 2 >= this.maxConnections;
  }

  /** Runs a task while it holds one of `maxConnections` slots; if none is free, waits first come, first served. */
  async withSlot<T>(task: () => Promise<T>): Promise<T> {
    if (this.slotsInUse >= this.maxConnections)
      await new Promise<void>((resolve) => this.slotWaiters.push(resolve));
    this.slotsInUse += 1;
    try {
      return await task();
    } finally {
      this.slotsInUse -= 1;
      this.slotWaiters.shift()?.();
    }
  }

  /** Sends one POST request to a worker. */
  async post(endpoint: string, request: WorkerRequest): Promise<RequestOutcome> {
    const worker = this.clientFor(endpoint);
    worker.requestsInFlight += 1;
    const outcome = await worker.client.request('POST', request.path, request.body, request.timeoutMs);
    worker.requestsInFlight -= 1;
    return outcome;
  }

  /** Closes all connections. */
  close(): void {
    for (const { client } of this.clients.values()) client.close();
    this.clients.clear();
  }

  private clientFor(endpoint: string): WorkerClient {
    const existing = this.clients.get(endpoint);
    // Removed and reinserted, so that it becomes the most recently used.
    this.clients.delete(endpoint);
    const worker = existing ?? { client: new HttpClient(endpoint, 1), requestsInFlight: 0 };
    this.clients.set(endpoint, worker);
    this.closeIdle(worker);
    return worker;
  }

  private closeIdle(except: WorkerClient): void {
    for (const [endpoint, worker] of this.clients) {
      if (this.clients.size <= this.maxConnections) break;
      if (worker.requestsInFlight > 0 || worker === except) continue;
      worker.client.close();
      this.clients.delete(endpoint);
    }
  }
}
