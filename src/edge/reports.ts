import type { Socket } from 'node:net';
import { API_PATHS } from '../wire/dialect.js';

/**
 * Workers' reports, read straight from the socket. They come hundreds of times a second over connections that carry
 * nothing else, and a general HTTP server took about ten times as long over one as its content does. Only the plain
 * form is read here: `POST` to the report's path with a `Content-Length`. Whatever else comes on a connection, it is
 * handed to the general server from that request on, with every byte.
 */
export interface ReportAnswer {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: Buffer;
}

const REQUEST_LINE = `POST ${API_PATHS.report} HTTP/1.1\r\n`;
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

export function answerBytes(a: ReportAnswer, close: boolean): Buffer {
  const head =
    `HTTP/1.1 ${a.status} ${REASONS[a.status]}\r\nContent-Type: application/cbor\r\n` +
    `Content-Length: ${a.body.length}\r\n${a.status === 503 ? 'Retry-After: 1\r\n' : ''}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), a.body]);
}

export type Head =
  | { readonly kind: 'report'; readonly from: number; readonly to: number; readonly close: boolean }
  /** Not all here yet. */
  | { readonly kind: 'part' }
  /** Something that is not read here. */
  | { readonly kind: 'other' };

/** Looks at what has come of a request: where the body of a report lies in it, if it is one. */
export function headOf(raw: Buffer, bodyLimit: number): Head {
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

/** One connection, until it ends or turns out to be for the general server. Returns what tears it down. */
export function readReports(
  socket: Socket,
  bodyLimit: number,
  answer: (body: Buffer) => ReportAnswer,
  handOver: (socket: Socket) => void,
): () => void {
  let raw: Buffer = Buffer.alloc(0);
  let began = 0n;
  const whole = setInterval(() => {
    if (raw.length > 0 && process.hrtime.bigint() - began > BigInt(WHOLE_MS) * 1_000_000n) socket.destroy();
  }, WHOLE_MS);
  const stop = (): void => {
    clearInterval(whole);
    socket.off('data', onData);
    socket.off('close', stop);
  };
  const onData = (d: Buffer): void => {
    if (raw.length === 0) began = process.hrtime.bigint();
    raw = raw.length === 0 ? d : Buffer.concat([raw, d]);
    for (;;) {
      if (raw.length === 0) return;
      const head = headOf(raw, bodyLimit);
      if (head.kind === 'part') return;
      if (head.kind === 'other') {
        stop();
        socket.setTimeout(0);
        socket.pause();
        socket.unshift(raw);
        handOver(socket);
        return;
      }
      const a = answer(raw.subarray(head.from, head.to));
      raw = raw.subarray(head.to);
      socket.write(answerBytes(a, head.close));
      if (head.close) {
        stop();
        socket.end();
        return;
      }
    }
  };
  socket.setNoDelay(true);
  socket.setTimeout(SILENT_MS, () => socket.destroy());
  socket.on('data', onData);
  socket.on('close', stop);
  return () => {
    stop();
    socket.destroy();
  };
}
