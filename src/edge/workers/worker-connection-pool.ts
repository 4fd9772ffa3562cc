/**
 * @file The connections to workers: one client per endpoint, with a limit on how many are kept and how many requests
 * are in flight. It owns the clients and closes them; it knows nothing of what is sent.
 */
import { HttpClient } from '../net/http-client.js';
import type { Outcome } from '../net/http-connection.js';

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
 * Keeps a connection per worker open between requests. Beyond `maxConnections` the least recently used idle ones are
 * closed: a large fleet would take all sockets of the process.
 */
export class WorkerConnectionPool {
  /** By endpoint, the least recently used first. */
  private readonly clients = new Map<string, WorkerClient>();
  private slotsInUse = 0;
  private readonly slotWaiters: (() => void)[] = [];

  constructor(private readonly maxConnections: number) {}

  /** Half of the slots or more are in use. */
  get isHalfFull(): boolean {
    return this.slotsInUse * 2 >= this.maxConnections;
  }

  /** Runs a task while it holds one of `maxConnections` slots; waits, first come first served, if none is free. */
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

  /** Posts one request to a worker. */
  async post(endpoint: string, request: WorkerRequest): Promise<Outcome> {
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
    // Removed and inserted again, so that it is the most recently used.
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
