import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import express, { type NextFunction, type Request, type Response } from 'express';
import { fromEvent, Observable, Subscription, takeUntil } from 'rxjs';
import type { Report } from '../core/model.js';
import type { Order } from '../core/world.js';
import { decode, encode } from '../wire/cbor.js';
import {
  API_PATHS,
  isJobId,
  jobAnswer,
  jobIdOf,
  orders,
  parseReport,
  parseSubmission,
  redirect,
} from '../wire/dialect.js';
import type { Answer, Desk, View } from './desk.js';
import { messageOf } from './duty.js';
import { parseTarget } from './http.js';
import type { Log } from './log.js';

export interface ApiParts {
  readonly addr: string;
  readonly desk: Desk;
  readonly log: Log;
  readonly healthy: () => boolean;
  /** The owner's answer to a report; null if we are not the owner or may not answer. */
  readonly report: (r: Report) => { token: number; orders: Order[] } | null;
  readonly ownerLabel: () => string | null;
}

const BODY_LIMIT = 64 * 1024;

function send(res: ServerResponse, status: number, body: unknown): void {
  const raw = encode(body);
  res.writeHead(status, { 'content-type': 'application/cbor', 'content-length': raw.length });
  res.end(raw);
}

function sendAnswer(res: Response, a: Answer<View>, fresh: number): void {
  switch (a.kind) {
    case 'ok':
      send(res, a.fresh ? fresh : 200, jobAnswer(a.value.id, a.value.standing, a.value));
      break;
    case 'absent':
      send(res, 404, { error: 'no such job' });
      break;
    case 'never':
      send(res, 422, { error: a.why });
      break;
    case 'later':
      res.setHeader('retry-after', String(a.seconds));
      send(res, 503, { error: a.why });
      break;
  }
}

/** The body as data; undefined if it is no CBOR. */
function bodyOf(req: Request): unknown {
  if (!Buffer.isBuffer(req.body) || req.body.length === 0) return undefined;
  try {
    return decode(req.body);
  } catch {
    return undefined;
  }
}

export function makeApp(p: ApiParts): express.Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.use(express.raw({ type: () => true, limit: BODY_LIMIT }));

  app.post(API_PATHS.jobs, async (req, res) => {
    const body = bodyOf(req);
    const id = jobIdOf(body);
    const spec = parseSubmission(body);
    if (id === null) return send(res, 400, { error: spec.ok ? 'ref: invalid' : spec.why });
    const a = await p.desk.submit(id, spec.ok ? spec.value : spec.why);
    if (a.kind === 'never' && !spec.ok) return send(res, 400, { error: a.why });
    sendAnswer(res, a, 201);
  });

  app.get(`${API_PATHS.jobs}/:id`, async (req, res) => {
    const id = req.params.id;
    if (!isJobId(id)) return send(res, 404, { error: 'no such job' });
    sendAnswer(res, await p.desk.look(id), 200);
  });

  app.post(`${API_PATHS.jobs}/:id/${API_PATHS.cancel}`, async (req, res) => {
    const id = req.params.id;
    if (!isJobId(id)) return send(res, 404, { error: 'no such job' });
    sendAnswer(res, await p.desk.cancel(id), 200);
  });

  app.get(API_PATHS.health, (_req, res) => {
    const ok = p.healthy();
    send(res, ok ? 200 : 503, { ok });
  });

  const wrongMethod = (_req: Request, res: Response): void => send(res, 405, { error: 'wrong method' });
  app.all(API_PATHS.report, wrongMethod);
  app.all(API_PATHS.jobs, wrongMethod);
  app.all(`${API_PATHS.jobs}/:id`, wrongMethod);
  app.all(`${API_PATHS.jobs}/:id/${API_PATHS.cancel}`, wrongMethod);
  app.all(API_PATHS.health, wrongMethod);
  app.use((_req: Request, res: Response) => send(res, 404, { error: 'no such path' }));
  app.use((e: unknown, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(e);
    const status = (e as { status?: unknown }).status;
    // Bodies that are too large or cannot be read are the asker's mistake.
    if (typeof status === 'number' && status >= 400 && status < 500)
      return send(res, 400, { error: messageOf(e) });
    p.log.error({ error: messageOf(e) }, 'request failed');
    res.setHeader('retry-after', '1');
    send(res, 503, { error: 'internal trouble' });
  });
  return app;
}

/**
 * Workers' reports come hundreds of times a second, and express with its body parser takes several times as long for
 * one as the rest of the way together (measured: about 200 µs beside 40). So these are read here; all else is express.
 */
function takeReport(p: ApiParts, req: IncomingMessage, res: ServerResponse): void {
  const parts: Buffer[] = [];
  let size = 0;
  req.on('data', (d: Buffer) => {
    size += d.length;
    if (size <= BODY_LIMIT) parts.push(d);
  });
  req.on('error', () => res.destroy());
  req.on('end', () => {
    if (size > BODY_LIMIT) return send(res, 400, { error: 'the report is too large' });
    let body: unknown;
    try {
      body = decode(Buffer.concat(parts));
    } catch {
      return send(res, 400, { error: 'not CBOR' });
    }
    const r = parseReport(body);
    if (!r.ok) return send(res, 400, { error: r.why });
    try {
      const answer = p.report(r.value);
      if (answer === null) return send(res, 421, redirect(p.ownerLabel()));
      send(res, 200, orders(answer.token, answer.orders));
    } catch (e) {
      // The worker goes on to the next controller; a report that trips us must not end the process.
      p.log.error({ error: messageOf(e) }, 'a report could not be taken in');
      if (!res.headersSent) send(res, 503, { error: 'internal trouble' });
    }
  });
}

/** Listens until unsubscribed. Each connection is a routine of its own and is torn down with the server. */
export function serve(p: ApiParts): Observable<{ readonly port: number }> {
  return new Observable((subscriber) => {
    const app = makeApp(p);
    const server = http.createServer((req, res) => {
      if (req.method === 'POST' && req.url === API_PATHS.report) takeReport(p, req, res);
      else app(req, res);
    });
    server.keepAliveTimeout = 120_000;
    server.requestTimeout = 15_000;
    const all = new Subscription();
    all.add(
      (fromEvent(server, 'connection') as Observable<Socket>).subscribe((socket) => {
        const one = (fromEvent(socket, 'error') as Observable<unknown>)
          .pipe(takeUntil(fromEvent(socket, 'close')))
          .subscribe({ complete: () => all.remove(one) });
        one.add(() => socket.destroy());
        all.add(one);
      }),
    );
    server.on('error', (e) => subscriber.error(e));
    const at = parseTarget(p.addr);
    server.listen(at.port, at.host, () => {
      const bound = server.address();
      subscriber.next({ port: typeof bound === 'object' && bound !== null ? bound.port : at.port });
    });
    return () => {
      all.unsubscribe();
      server.close();
    };
  });
}
