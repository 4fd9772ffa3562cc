/**
 * @file Reads heartbeats directly from a connection, without the general HTTP server. Hundreds of heartbeats arrive per
 * second, over connections that carry nothing else. Of about 0.6 ms per heartbeat (profile of a leader with 213 workers
 * on loopback) the scheduler's core took 0.05 ms, express with its body parser about 0.2 ms and the general HTTP server
 * most of the remainder. At its first request that is not a plain heartbeat, a connection is handed over to the general
 * server with every byte from that request on; no byte may be lost or read twice.
 */
import type { Socket } from 'node:net';
import { monotonicNow } from '../runtime/clock.js';
import { MAX_HEAD_BYTES, parseHead } from './heartbeat-head.js';
import type { HeartbeatQueue } from './heartbeat-queue.js';
import { encodeResponse, type HeartbeatResponse } from './heartbeat-response.js';

/**
 * A request must be complete within this time after its first bytes. The check runs at the same interval, so a
 * connection may be closed up to twice this time after the first bytes.
 */
const REQUEST_TIMEOUT_MS = 15_000;
const REQUEST_TIMEOUT_NS = BigInt(REQUEST_TIMEOUT_MS) * 1_000_000n;
const IDLE_TIMEOUT_MS = 120_000;

/** Options shared by all connections. */
export interface HeartbeatReaderOptions {
  readonly maxBodyBytes: number;
  readonly queue: HeartbeatQueue;
  readonly respond: (body: Buffer) => HeartbeatResponse;
  /**
   * Takes over a connection that carries any other request. The socket is paused, and the bytes received have been
   * pushed back into it.
   */
  readonly handOver: (socket: Socket) => void;
  /** Returns true if a connection is to be closed after its response, so that another worker can use its socket. */
  readonly rotatesConnections: () => boolean;
}

/**
 * Reads heartbeats from a connection until it ends or is handed over. Returns a function that closes the connection.
 */
export function readHeartbeats(socket: Socket, options: HeartbeatReaderOptions): () => void {
  const connection = new HeartbeatConnection(socket, options);
  return () => connection.destroy();
}

class HeartbeatConnection {
  private received: Buffer = Buffer.alloc(0);
  private requestStartedAt = 0n;
  private isFirst = true;
  /** Removes the heartbeat that waits for its response from the queue; null if none is waiting. */
  private removeFromQueue: (() => void) | null = null;
  private readonly timeoutCheck: NodeJS.Timeout;

  constructor(
    private readonly socket: Socket,
    private readonly options: HeartbeatReaderOptions,
  ) {
    this.timeoutCheck = setInterval(this.checkTimeout, REQUEST_TIMEOUT_MS);
    socket.setNoDelay(true);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', this.onData);
    socket.on('end', this.detach);
    socket.on('close', this.detach);
  }

  destroy(): void {
    this.detach();
    this.socket.destroy();
  }

  private readonly checkTimeout = (): void => {
    if (this.received.length > 0 && monotonicNow() - this.requestStartedAt > REQUEST_TIMEOUT_NS)
      this.socket.destroy();
  };

  private readonly detach = (): void => {
    clearInterval(this.timeoutCheck);
    this.removeFromQueue?.();
    this.removeFromQueue = null;
    this.socket.off('data', this.onData);
    this.socket.off('end', this.detach);
    this.socket.off('close', this.detach);
  };

  private readonly onData = (data: Buffer): void => {
    if (this.received.length === 0) this.requestStartedAt = monotonicNow();
    this.received = this.received.length === 0 ? data : Buffer.concat([this.received, data]);
    // Requests are not pipelined: bytes that arrive before the response are buffered, and beyond the size of one
    // request TCP flow control stops the sender.
    if (this.removeFromQueue === null) this.readRequest();
    else if (this.received.length > MAX_HEAD_BYTES + this.options.maxBodyBytes) this.socket.pause();
  };

  private readRequest(): void {
    if (this.received.length === 0) return;
    const head = parseHead(this.received, this.options.maxBodyBytes);
    if (head.kind === 'incomplete') return;
    if (head.kind === 'other') {
      this.handOver();
      return;
    }
    const body = this.received.subarray(head.bodyStart, head.bodyEnd);
    this.received = this.received.subarray(head.bodyEnd);
    this.removeFromQueue = this.options.queue.push(() => this.respond(body, head.close), this.isFirst);
    this.isFirst = false;
  }

  private respond(body: Buffer, closeRequested: boolean): void {
    this.removeFromQueue = null;
    const close = closeRequested || this.options.rotatesConnections();
    this.socket.write(encodeResponse(this.options.respond(body), close));
    if (close) {
      this.detach();
      this.socket.end();
    } else if (this.received.length > 0) {
      this.socket.resume();
      this.readRequest();
    }
  }

  private handOver(): void {
    this.detach();
    this.socket.setTimeout(0);
    this.socket.pause();
    this.socket.unshift(this.received);
    this.options.handOver(this.socket);
  }
}
