import { connect, type Socket } from 'node:net';
import { decode, encode } from '../../wire/cbor.js';
import { ResponseReader, type HttpResponse } from './http-response.js';

/** What became of a request. `unsent`: no connection came about, so it can never be carried out. */
export type Outcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'unsent'; readonly why: string }
  | { readonly kind: 'unknown'; readonly why: string };

/** An IPv4 address and port. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Reads `HOST:PORT`. */
export function parseTarget(address: string): Target {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Idle connections are closed: on a large fleet one to every worker would take most of our sockets. */
const IDLE_MS = 20_000;

/** One request on its way through the pool. */
interface Call {
  readonly bytes: Buffer;
  readonly settle: (outcome: Outcome) => void;
  connection: Connection | null;
}

function answerOf(response: HttpResponse): Outcome {
  try {
    const body = response.body.length === 0 ? null : decode(response.body);
    return { kind: 'answer', status: response.status, body };
  } catch {
    return { kind: 'unknown', why: 'the answer is not CBOR' };
  }
}

/** One connection, which carries one request at a time and is kept open between them. */
class Connection {
  private readonly socket: Socket;
  private reader = new ResponseReader();
  private connected = false;
  private call: Call | null = null;
  private retired = false;

  constructor(
    target: Target,
    private readonly onIdle: (connection: Connection) => void,
    private readonly onRetired: (connection: Connection) => void,
  ) {
    this.socket = connect(target.port, target.host);
    this.socket.setNoDelay(true);
    this.socket.setTimeout(IDLE_MS, () => {
      if (this.call === null) this.retire();
    });
    this.socket.once('connect', () => {
      this.connected = true;
      this.write();
    });
    this.socket.on('data', (data) => this.read(data));
    this.socket.on('error', (error) => this.fail(error.message));
    this.socket.on('end', () => this.ended());
    this.socket.once('close', () => this.fail('the connection was closed'));
  }

  send(call: Call): void {
    this.call = call;
    call.connection = this;
    this.reader = new ResponseReader();
    if (this.connected) this.write();
  }

  /** Ends the connection, and with it the request that it carries. */
  fail(reason: string): void {
    const { call } = this;
    this.call = null;
    this.retire();
    call?.settle({ kind: this.connected ? 'unknown' : 'unsent', why: reason });
  }

  /** Leaves the pool at once: nothing may be sent on a connection that is about to close. */
  private retire(): void {
    this.socket.destroy();
    if (this.retired) return;
    this.retired = true;
    this.onRetired(this);
  }

  private write(): void {
    if (this.call !== null) this.socket.write(this.call.bytes);
  }

  private read(data: Buffer): void {
    // Nothing was asked: whatever this is, the connection is of no more use.
    if (this.call === null) return this.retire();
    try {
      const response = this.reader.push(data);
      if (response !== null) this.finish(this.call, response);
    } catch (error) {
      this.fail(error instanceof Error ? error.message : String(error));
    }
  }

  private ended(): void {
    const response = this.reader.close();
    if (this.call !== null && response !== null) this.finish(this.call, response);
    else this.fail('the connection was ended');
  }

  private finish(call: Call, response: HttpResponse): void {
    this.call = null;
    call.settle(answerOf(response));
    if (!response.keepAlive) this.retire();
    else this.onIdle(this);
  }
}

/**
 * A client of one outside system: kept-alive connections, CBOR bodies, and a limit on every wait. It is made straight
 * on `net`, since the general client took several times as long over a request as the request's content does.
 */
export class HttpClient {
  private readonly target: Target;
  private readonly open = new Set<Connection>();
  /** The one used last is taken first, so that connections beyond need become idle and are closed. */
  private readonly idle: Connection[] = [];
  private readonly queue: Call[] = [];

  constructor(
    private readonly address: string,
    private readonly maxConnections: number,
  ) {
    this.target = parseTarget(address);
  }

  /** Ends all connections; what they carried has an unknown outcome. */
  close(): void {
    for (const connection of [...this.open]) connection.fail('closed');
  }

  /** Sends a request; `limitMs` bounds the whole of it, waiting for a connection included. */
  request(
    method: string,
    path: string,
    body: unknown,
    limitMs: number,
    signal?: AbortSignal,
  ): Promise<Outcome> {
    return new Promise((resolve) => {
      const call: Call = {
        bytes: this.bytesOf(method, path, body),
        connection: null,
        settle: (outcome) => {
          clearTimeout(timer);
          signal?.removeEventListener('abort', abort);
          resolve(outcome);
        },
      };
      const abort = (): void => this.giveUp(call, 'cancelled');
      const timer = setTimeout(() => this.giveUp(call, 'no answer in time'), limitMs);
      if (signal?.aborted === true) return call.settle({ kind: 'unsent', why: 'cancelled' });
      signal?.addEventListener('abort', abort);
      this.start(call);
    });
  }

  private bytesOf(method: string, path: string, body: unknown): Buffer {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\nConnection: keep-alive\r\n`;
    if (body === undefined) {
      const length = method === 'GET' ? '' : 'Content-Length: 0\r\n';
      return Buffer.from(`${head}${length}\r\n`, 'latin1');
    }
    const payload = encode(body);
    const rest = `Content-Type: application/cbor\r\nContent-Length: ${payload.length}\r\n\r\n`;
    return Buffer.concat([Buffer.from(head + rest, 'latin1'), payload]);
  }

  private start(call: Call): void {
    const connection = this.idle.pop() ?? this.connect();
    if (connection === null) this.queue.push(call);
    else connection.send(call);
  }

  private connect(): Connection | null {
    if (this.open.size >= this.maxConnections) return null;
    const connection = new Connection(
      this.target,
      (idle) => this.reuse(idle),
      (retired) => this.forget(retired),
    );
    this.open.add(connection);
    return connection;
  }

  private reuse(connection: Connection): void {
    const next = this.queue.shift();
    if (next === undefined) this.idle.push(connection);
    else connection.send(next);
  }

  private forget(connection: Connection): void {
    this.open.delete(connection);
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
    const next = this.queue.shift();
    if (next !== undefined) this.start(next);
  }

  private giveUp(call: Call, reason: string): void {
    if (call.connection !== null) return call.connection.fail(reason);
    const at = this.queue.indexOf(call);
    if (at >= 0) this.queue.splice(at, 1);
    call.settle({ kind: 'unsent', why: reason });
  }
}
