/**
 * @file One client connection over HTTP/1.1. It settles each request that it was given exactly once, and decides
 * whether the request may have been executed: a request is `unsent` only if the connection was never established.
 */
import { connect, type Socket } from 'node:net';
import { decode } from '../../wire/cbor.js';
import { ResponseReader, type HttpResponse } from './http-response.js';
import type { HostAndPort } from './host-and-port.js';

/**
 * The outcome of a request. `unsent` means that the request was never written to an established connection, so it can
 * never be executed; `unknown` means that it may have been executed.
 */
export type RequestOutcome =
  | { readonly kind: 'response'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'unsent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Idle connections are closed, because in a large fleet one connection to each worker would use most of the sockets.
 */
const IDLE_TIMEOUT_MS = 20_000;

/** A request that waits for a connection of the pool or is in flight on one. */
export interface PendingRequest {
  /** Head and body, sent in one write. */
  readonly bytes: Buffer;
  readonly settle: (outcome: RequestOutcome) => void;
  /** The connection that carries it; null while it waits for one. */
  connection: HttpConnection | null;
}

function outcomeOf(response: HttpResponse): RequestOutcome {
  try {
    const body = response.body.length === 0 ? null : decode(response.body);
    return { kind: 'response', status: response.status, body };
  } catch {
    return { kind: 'unknown', reason: 'the response is not CBOR' };
  }
}

/** One connection, which carries one request at a time and is kept open between requests. */
export class HttpConnection {
  private readonly socket: Socket;
  private reader = new ResponseReader();
  private connected = false;
  private request: PendingRequest | null = null;
  private retired = false;

  constructor(
    target: HostAndPort,
    private readonly onIdle: (connection: HttpConnection) => void,
    private readonly onRetired: (connection: HttpConnection) => void,
  ) {
    this.socket = connect(target.port, target.host);
    this.socket.setNoDelay(true);
    this.socket.setTimeout(IDLE_TIMEOUT_MS, () => {
      if (this.request === null) this.retire();
    });
    this.socket.once('connect', () => {
      this.connected = true;
      this.write();
    });
    this.socket.on('data', (data) => this.onData(data));
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('end', () => this.onEnd());
    this.socket.once('close', () => this.fail('the connection was closed'));
  }

  send(request: PendingRequest): void {
    this.request = request;
    request.connection = this;
    this.reader = new ResponseReader();
    if (this.connected) this.write();
  }

  /** Closes the connection and settles the request that it carries, if any. */
  fail(reason: string): void {
    const { request } = this;
    this.request = null;
    this.retire();
    request?.settle({ kind: this.connected ? 'unknown' : 'unsent', reason });
  }

  /** Closes the connection and removes it from the pool at once: no request may be sent on a closing connection. */
  private retire(): void {
    this.socket.destroy();
    if (this.retired) return;
    this.retired = true;
    this.onRetired(this);
  }

  private write(): void {
    if (this.request !== null) this.socket.write(this.request.bytes);
  }

  private onData(data: Buffer): void {
    // Without a request in flight no response is expected, so the state of the connection is unknown.
    if (this.request === null) return this.retire();
    try {
      const response = this.reader.push(data);
      if (response !== null) this.finish(this.request, response);
    } catch (error) {
      this.fail(error instanceof Error ? error.message : String(error));
    }
  }

  private onEnd(): void {
    const response = this.reader.close();
    if (this.request !== null && response !== null) this.finish(this.request, response);
    else this.fail('the connection was ended');
  }

  private finish(request: PendingRequest, response: HttpResponse): void {
    this.request = null;
    request.settle(outcomeOf(response));
    if (!response.keepAlive) this.retire();
    else this.onIdle(this);
  }
}
