/**
 * @file The HTTP client for the state store, the cloud and workers: a pool of connections to one address. It is built
 * on `node:net`, because the client of `node:http` took several times as long for a request as the processing of the
 * request's content. After a failover, direct commands and requests to the state store were the largest part of the
 * load on a small core (flat profile of `npm run load`). The client must report each request's outcome once, and must
 * never repeat a request itself.
 */
import { encode } from '../../wire/cbor.js';
import { HttpConnection, type RequestOutcome, type PendingRequest } from './http-connection.js';
import { parseHostAndPort, type HostAndPort } from './host-and-port.js';

/** A client of one external system, with keep-alive connections, CBOR bodies and a timeout on every wait. */
export class HttpClient {
  private readonly target: HostAndPort;
  private readonly openConnections = new Set<HttpConnection>();
  /**
   * The most recently used connection is taken first, so that connections that are not needed stay idle and are closed.
   */
  private readonly idleConnections: HttpConnection[] = [];
  private readonly waitingRequests: PendingRequest[] = [];

  constructor(
    private readonly address: string,
    private readonly maxConnections: number,
  ) {
    this.target = parseHostAndPort(address);
  }

  /**
   * Closes all connections. A request on one of them gets an unknown outcome, or the outcome `unsent` if the connection
   * was not established yet.
   */
  close(): void {
    for (const connection of [...this.openConnections]) connection.fail('the client was closed');
  }

  /** Sends a request. `timeoutMs` bounds the whole request, including the wait for a connection. */
  request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<RequestOutcome> {
    return new Promise((resolve) => {
      const pending: PendingRequest = {
        bytes: this.encodeRequest(method, path, body),
        connection: null,
        settle: (outcome) => {
          clearTimeout(timer);
          signal?.removeEventListener('abort', abort);
          resolve(outcome);
        },
      };
      const abort = (): void => this.abandon(pending, 'cancelled');
      const timer = setTimeout(() => this.abandon(pending, 'no response in time'), timeoutMs);
      if (signal?.aborted === true) return pending.settle({ kind: 'unsent', reason: 'cancelled' });
      signal?.addEventListener('abort', abort);
      this.dispatch(pending);
    });
  }

  private encodeRequest(method: string, path: string, body: unknown): Buffer {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\nConnection: keep-alive\r\n`;
    if (body === undefined) {
      const length = method === 'GET' ? '' : 'Content-Length: 0\r\n';
      return Buffer.from(`${head}${length}\r\n`, 'latin1');
    }
    const payload = encode(body);
    const rest = `Content-Type: application/cbor\r\nContent-Length: ${payload.length}\r\n\r\n`;
    return Buffer.concat([Buffer.from(head + rest, 'latin1'), payload]);
  }

  private dispatch(pending: PendingRequest): void {
    const connection = this.idleConnections.pop() ?? this.connect();
    if (connection === null) this.waitingRequests.push(pending);
    else connection.send(pending);
  }

  private connect(): HttpConnection | null {
    if (this.openConnections.size >= this.maxConnections) return null;
    const connection = new HttpConnection(
      this.target,
      (idle) => this.reuse(idle),
      (retired) => this.remove(retired),
    );
    this.openConnections.add(connection);
    return connection;
  }

  private reuse(connection: HttpConnection): void {
    const next = this.waitingRequests.shift();
    if (next === undefined) this.idleConnections.push(connection);
    else connection.send(next);
  }

  private remove(connection: HttpConnection): void {
    this.openConnections.delete(connection);
    const index = this.idleConnections.indexOf(connection);
    if (index >= 0) this.idleConnections.splice(index, 1);
    const next = this.waitingRequests.shift();
    if (next !== undefined) this.dispatch(next);
  }

  private abandon(pending: PendingRequest, reason: string): void {
    if (pending.connection !== null) return pending.connection.fail(reason);
    const index = this.waitingRequests.indexOf(pending);
    if (index >= 0) this.waitingRequests.splice(index, 1);
    pending.settle({ kind: 'unsent', reason });
  }
}
