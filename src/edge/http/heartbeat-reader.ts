import type { Socket } from 'node:net';
import { API_PATHS } from '../../wire/api-paths.js';
import { monotonicNow } from '../runtime/clock.js';

/**
 * Workers' reports, read straight from the socket. They come hundreds of times a second over connections that carry
 * nothing else, and a general HTTP server took about ten times as long over one as its content does. Only the plain
 * form is read here: `POST` to the report's path with a `Content-Length`. Whatever else comes on a connection, it is
 * handed to the general server from that request on, with every byte.
 */
export interface HeartbeatResponse {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: Buffer;
}

const REQUEST_LINE = `POST ${API_PATHS.heartbeat} HTTP/1.1\r\n`;
const HEAD_LIMIT = 8 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');
/** A request that has begun must be whole in this time, and a connection does not stay silent for longer than that. */
const WHOLE_MS = 15_000;
const SILENT_MS = 120_000;

const REASONS = {
  200: 'OK',
  400: 'Bad Request',
  421: 'Misdirected Request',
  503: 'Service Unavailable',
} as const;

/** An answer to a report as it goes over the wire. */
export function encodeResponse(a: HeartbeatResponse, close: boolean): Buffer {
  const head =
    `HTTP/1.1 ${a.status} ${REASONS[a.status]}\r\nContent-Type: application/cbor\r\n` +
    `Content-Length: ${a.body.length}\r\n${a.status === 503 ? 'Retry-After: 1\r\n' : ''}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), a.body]);
}

/** What has come of a request so far. */
export type ParsedHead =
  | { readonly kind: 'report'; readonly from: number; readonly to: number; readonly close: boolean }
  /** Not all here yet. */
  | { readonly kind: 'part' }
  /** Something that is not read here. */
  | { readonly kind: 'other' };

/** Looks at what has come of a request: where the body of a report lies in it, if it is one. */
export function parseHead(raw: Buffer, bodyLimit: number): ParsedHead {
  const seen = Math.min(raw.length, REQUEST_LINE.length);
  if (raw.toString('latin1', 0, seen) !== REQUEST_LINE.slice(0, seen)) return { kind: 'other' };
  const end = raw.indexOf(HEAD_END);
  if (end < 0) return raw.length > HEAD_LIMIT ? { kind: 'other' } : { kind: 'part' };
  const lines = raw.toString('latin1', REQUEST_LINE.length, end).toLowerCase().split('\r\n');
  let length = -1;
  let close = false;
  for (const line of lines) {
    const cut = line.indexOf(':');
    const name = line.slice(0, cut);
    const value = line.slice(cut + 1).trim();
    if (name === 'content-length') {
      if (length >= 0 || !/^\d{1,9}$/.test(value)) return { kind: 'other' };
      length = Number(value);
    } else if (name === 'connection') close = value === 'close';
    else if (name === 'transfer-encoding' || name === 'expect' || name === 'upgrade')
      return { kind: 'other' };
  }
  if (length < 0 || length > bodyLimit) return { kind: 'other' };
  const from = end + HEAD_END.length;
  return raw.length < from + length ? { kind: 'part' } : { kind: 'report', from, to: from + length, close };
}

/** One turn of the intake ends after this long, whatever still waits; on a share of a core, after that share of it. */
const TURN_NS = 10_000_000;
/** So many new connections in a row that were given up before they were taken in: the queue of them is stale. */
const STALE = 32;

/**
 * Reports that have come in whole and wait for their answer, the oldest first, at most one a connection. The engine
 * takes in one new connection each time round its loop: with every report answered as it was read, a leader that was
 * behind went round a few dozen times a second, and workers that came back after a takeover waited for longer than the
 * 4 s they have, gave up, and came again. Answers are given in short turns, so that the loop goes round often; a report
 * whose worker has gone meanwhile is not looked at, since nobody would hear the answer and its next one says more.
 */
export class HeartbeatQueue {
  /** What waits, oldest first, with the turn before which it came. */
  private readonly waiting = new Map<() => void, number>();
  private turns = 0;
  /** New connections in a row that had been given up when they were taken in. */
  private tooLate = 0;
  private turn: NodeJS.Immediate | null = null;

  private readonly turnNs: bigint;

  constructor(
    /** What waits to be taken in has waited longer than those who wait have patience. */
    private readonly onStale: () => void = () => undefined,
    coreShare = 1,
    private readonly clock: () => bigint = monotonicNow,
    private readonly soon: (f: () => void) => NodeJS.Immediate = setImmediate,
  ) {
    this.turnNs = BigInt(Math.round(TURN_NS * coreShare));
  }

  /** How many wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** Has `answer` called when its turn comes. `fresh`: the first on its connection. Returns what takes it back. */
  push(answer: () => void, fresh: boolean): () => void {
    const entry = (): void => {
      if (fresh) this.tooLate = 0;
      answer();
    };
    this.waiting.set(entry, this.turns);
    this.turn ??= this.soon(() => this.take());
    return () => {
      if (!this.waiting.delete(entry) || !fresh) return;
      this.tooLate += 1;
      if (this.tooLate < STALE) return;
      this.tooLate = 0;
      this.onStale();
    };
  }

  private take(): void {
    this.turn = null;
    const began = this.clock();
    for (const [entry, came] of this.waiting) {
      // What came since the last turn waits for the next: by then the end of its connection would have been seen.
      if (came === this.turns) break;
      this.waiting.delete(entry);
      entry();
      if (this.clock() - began >= this.turnNs) break;
    }
    this.turns += 1;
    if (this.waiting.size > 0) this.turn ??= this.soon(() => this.take());
  }

  stop(): void {
    this.waiting.clear();
    if (this.turn !== null) clearImmediate(this.turn);
    this.turn = null;
  }
}

/** One connection, until it ends or turns out to be for the general server. Returns what tears it down. */
export function readHeartbeats(
  socket: Socket,
  bodyLimit: number,
  intake: HeartbeatQueue,
  answer: (body: Buffer) => HeartbeatResponse,
  handOver: (socket: Socket) => void,
  /** Whether the connection is to be closed after an answer, so that others get its socket. */
  takesTurns: () => boolean = () => false,
): () => void {
  let raw: Buffer = Buffer.alloc(0);
  let began = 0n;
  let fresh = true;
  /** Takes back the report that waits for its answer; null if none does. */
  let takeBack: (() => void) | null = null;
  const whole = setInterval(() => {
    if (raw.length > 0 && process.hrtime.bigint() - began > BigInt(WHOLE_MS) * 1_000_000n) socket.destroy();
  }, WHOLE_MS);
  const stop = (): void => {
    clearInterval(whole);
    takeBack?.();
    takeBack = null;
    socket.off('data', onData);
    socket.off('end', stop);
    socket.off('close', stop);
  };
  const onData = (data: Buffer): void => {
    if (raw.length === 0) began = process.hrtime.bigint();
    raw = raw.length === 0 ? data : Buffer.concat([raw, data]);
    // Requests are not pipelined: what comes ahead of an answer is held back, beyond one request in the network.
    if (takeBack === null) read();
    else if (raw.length > HEAD_LIMIT + bodyLimit) socket.pause();
  };
  const read = (): void => {
    if (raw.length === 0) return;
    const head = parseHead(raw, bodyLimit);
    if (head.kind === 'part') return;
    if (head.kind === 'other') {
      stop();
      socket.setTimeout(0);
      socket.pause();
      socket.unshift(raw);
      handOver(socket);
      return;
    }
    const body = raw.subarray(head.from, head.to);
    raw = raw.subarray(head.to);
    takeBack = intake.push(() => {
      takeBack = null;
      const close = head.close || takesTurns();
      socket.write(encodeResponse(answer(body), close));
      if (close) {
        stop();
        socket.end();
        return;
      }
      if (raw.length > 0) {
        socket.resume();
        read();
      }
    }, fresh);
    fresh = false;
  };
  socket.setNoDelay(true);
  socket.setTimeout(SILENT_MS, () => socket.destroy());
  socket.on('data', onData);
  socket.on('end', stop);
  socket.on('close', stop);
  return () => {
    stop();
    socket.destroy();
  };
}
