import http from 'node:http';
import { decode, encode } from '../wire/cbor.js';

/** What became of a request. `unsent`: no connection came about, so it can never be carried out. */
export type Outcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'unsent'; readonly why: string }
  | { readonly kind: 'unknown'; readonly why: string };

export interface Target {
  readonly host: string;
  readonly port: number;
}

export function parseTarget(addr: string): Target {
  const cut = addr.lastIndexOf(':');
  return { host: addr.slice(0, cut), port: Number(addr.slice(cut + 1)) };
}

const IDLE_MS = 20_000;

/** A client of one outside system: kept-alive connections, CBOR bodies, and a limit on every wait. */
export class Client {
  private readonly agent: http.Agent;
  private readonly target: Target;

  constructor(addr: string, maxSockets: number) {
    this.target = parseTarget(addr);
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: maxSockets,
      scheduling: 'lifo',
      // Idle connections are closed: on a large fleet one to every worker would take most of our sockets.
      timeout: IDLE_MS,
    });
  }

  close(): void {
    this.agent.destroy();
  }

  request(
    method: string,
    path: string,
    body: unknown,
    limitMs: number,
    signal?: AbortSignal,
  ): Promise<Outcome> {
    return new Promise((resolve) => {
      const payload = body === undefined ? null : encode(body);
      let connected = false;
      let settled = false;
      const settle = (o: Outcome): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        signal?.removeEventListener('abort', abort);
        resolve(o);
      };
      const req = http.request({
        agent: this.agent,
        host: this.target.host,
        port: this.target.port,
        method,
        path,
        headers:
          payload === null ? {} : { 'content-type': 'application/cbor', 'content-length': payload.length },
      });
      const give = (why: string): void => {
        settle(connected ? { kind: 'unknown', why } : { kind: 'unsent', why });
        req.destroy();
      };
      const abort = (): void => give('cancelled');
      const timer = setTimeout(() => give('no answer in time'), limitMs);
      signal?.addEventListener('abort', abort);
      req.on('socket', (s) => {
        if (s.connecting) s.once('connect', () => (connected = true));
        else connected = true;
      });
      req.on('error', (e) => give(e.message));
      req.on('response', (res) => {
        const parts: Buffer[] = [];
        res.on('data', (d: Buffer) => parts.push(d));
        res.on('error', (e) => give(e.message));
        res.on('aborted', () => give('answer cut short'));
        res.on('end', () => {
          const raw = Buffer.concat(parts);
          try {
            settle({
              kind: 'answer',
              status: res.statusCode ?? 0,
              body: raw.length === 0 ? null : decode(raw),
            });
          } catch {
            settle({ kind: 'unknown', why: 'the answer is not CBOR' });
          }
        });
      });
      if (payload !== null) req.write(payload);
      req.end();
    });
  }
}
