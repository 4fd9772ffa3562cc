import http, { type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import express, { type NextFunction, type Request, type Response } from 'express';
import { Observable, Subscription } from 'rxjs';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { HeartbeatAnswer, WorkerCommand } from '../../core/model/worker-command.js';
import { decode, encode } from '../../wire/cbor.js';
import { API_PATHS } from '../../wire/api-paths.js';
import { isJobId, encodeJobStatus, jobIdOf, parseSubmission } from '../../wire/user-protocol.js';
import { encodeCommands, parseHeartbeat, encodeRedirect } from '../../wire/worker-protocol.js';
import type { RequestResult, RequestHandler, JobView } from './request-handler.js';
import { InboundConnections } from './inbound-connections.js';
import { Listener } from './listener.js';
import { errorMessage } from '../runtime/supervised-task.js';
import { parseTarget } from '../net/http-client.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { HeartbeatQueue, readHeartbeats, type HeartbeatResponse } from './heartbeat-reader.js';
import type { ConnectionLimits } from '../config/connection-limits.js';

/** What the HTTP interface needs. */
export interface HttpServerDependencies {
  readonly address: string;
  readonly requests: RequestHandler;
  readonly logger: Logger;
  readonly isHealthy: () => boolean;
  readonly connectionLimits: ConnectionLimits;
  /** The part of a core that we have. */
  readonly coreShare: number;
  readonly isLeader: () => boolean;
  /** The owner's answer to a report; null if we are not the owner or may not answer. */
  readonly onHeartbeat: (heartbeat: Heartbeat) => HeartbeatAnswer | null;
  readonly leaderLabel: () => string | null;
}

const BODY_LIMIT = 64 * 1024;

function send(res: ServerResponse, status: number, body: unknown): void {
  const raw = encode(body);
  res.writeHead(status, { 'content-type': 'application/cbor', 'content-length': raw.length });
  res.end(raw);
}

function sendAnswer(res: Response, a: RequestResult<JobView>, fresh: number): void {
  switch (a.kind) {
    case 'ok':
      send(res, a.created ? fresh : 200, encodeJobStatus(a.value.id, a.value.status, a.value));
      break;
    case 'not-found':
      send(res, 404, { error: 'no such job' });
      break;
    case 'rejected':
      send(res, 422, { error: a.reason });
      break;
    case 'unavailable':
      res.setHeader('retry-after', String(a.retryAfterS));
      send(res, 503, { error: a.reason });
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

/** Users' connections that came when there were too many. */
const crowded = new WeakSet<Socket>();

/** The express application for users, and for reports in an unusual form. */
export function createUserApp(
  dependencies: HttpServerDependencies,
  answer: (raw: Buffer) => HeartbeatResponse,
  connections: InboundConnections,
): express.Express {
  const app = express();
  app.use((_req: Request, res: Response, next: NextFunction) => {
    // A user stays on the connection it has: closing it lets the next request come to a controller that is healthy.
    if (connections.rotatesUsers || !dependencies.isHealthy()) res.setHeader('connection', 'close');
    next();
  });
  // Turned away before its body is read. The load balancer's question is answered all the same.
  app.use((req: Request, res: Response, next: NextFunction) => {
    if (!crowded.has(req.socket) || req.path === API_PATHS.health) return next();
    res.setHeader('retry-after', '1');
    res.setHeader('connection', 'close');
    send(res, 503, { error: 'too many connections' });
  });
  app.disable('x-powered-by');
  app.disable('etag');
  app.use(express.raw({ type: () => true, limit: BODY_LIMIT }));

  // Reports in an unusual form come this way.
  app.post(API_PATHS.heartbeat, (req, res) => {
    const a = answer(Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0));
    res.writeHead(a.status, { 'content-type': 'application/cbor', 'content-length': a.body.length });
    res.end(a.body);
  });

  app.post(API_PATHS.jobs, async (req, res) => {
    const body = bodyOf(req);
    const id = jobIdOf(body);
    const spec = parseSubmission(body);
    if (id === null) return send(res, 400, { error: spec.ok ? 'ref: invalid' : spec.reason });
    const a = await dependencies.requests.submit(id, spec.ok ? spec.value : spec.reason);
    if (a.kind === 'rejected' && !spec.ok) return send(res, 400, { error: a.reason });
    sendAnswer(res, a, 201);
  });

  app.get(`${API_PATHS.jobs}/:id`, async (req, res) => {
    const id = req.params.id;
    if (!isJobId(id)) return send(res, 404, { error: 'no such job' });
    sendAnswer(res, await dependencies.requests.status(id), 200);
  });

  app.post(`${API_PATHS.jobs}/:id/${API_PATHS.cancel}`, async (req, res) => {
    const id = req.params.id;
    if (!isJobId(id)) return send(res, 404, { error: 'no such job' });
    sendAnswer(res, await dependencies.requests.cancel(id), 200);
  });

  app.get(API_PATHS.health, (_req, res) => {
    const ok = dependencies.isHealthy();
    send(res, ok ? 200 : 503, { ok });
  });

  const wrongMethod = (_req: Request, res: Response): void => send(res, 405, { error: 'wrong method' });
  app.all(API_PATHS.heartbeat, wrongMethod);
  app.all(API_PATHS.jobs, wrongMethod);
  app.all(`${API_PATHS.jobs}/:id`, wrongMethod);
  app.all(`${API_PATHS.jobs}/:id/${API_PATHS.cancel}`, wrongMethod);
  app.all(API_PATHS.health, wrongMethod);
  app.use((_req: Request, res: Response) => send(res, 404, { error: 'no such path' }));
  app.use((e: unknown, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(e);
    const status = (e as { status?: unknown }).status;
    // Bodies that are too large or cannot be read are the sender's mistake.
    if (typeof status === 'number' && status >= 400 && status < 500)
      return send(res, 400, { error: errorMessage(e) });
    warnRateLimited(dependencies.logger, { error: errorMessage(e) }, 'request failed');
    res.setHeader('retry-after', '1');
    send(res, 503, { error: 'internal trouble' });
  });
  return app;
}

function refuseReport(dependencies: HttpServerDependencies, reason: string): HeartbeatResponse {
  warnRateLimited(dependencies.logger, { why: reason }, 'a report cannot be read');
  return { status: 400, body: encode({ error: reason }) };
}

/** The answers to workers' reports. Most carry no orders and differ by the token alone: those are written once for each. */
function reportAnswers(dependencies: HttpServerDependencies): (raw: Buffer) => HeartbeatResponse {
  let plain: { readonly token: number; readonly body: Buffer } | null = null;
  const write = (fencingToken: number, list: readonly WorkerCommand[]): Buffer => {
    if (list.length > 0) return encode(encodeCommands(fencingToken, list));
    if (plain?.token !== fencingToken)
      plain = { token: fencingToken, body: encode(encodeCommands(fencingToken, [])) };
    return plain.body;
  };
  return (raw) => {
    // Only the leader reads reports: after a takeover the others send hundreds of workers on within seconds.
    if (!dependencies.isLeader())
      return { status: 421, body: encode(encodeRedirect(dependencies.leaderLabel())) };
    let body: unknown;
    try {
      body = decode(raw);
    } catch {
      return refuseReport(dependencies, 'not CBOR');
    }
    const r = parseHeartbeat(body);
    if (!r.ok) return refuseReport(dependencies, r.reason);
    try {
      const answer = dependencies.onHeartbeat(r.value);
      if (answer === null) return { status: 421, body: encode(encodeRedirect(dependencies.leaderLabel())) };
      return { status: 200, body: write(answer.fencingToken, answer.commands) };
    } catch (e) {
      // The worker goes on to the next controller; a report that trips us must not end the process.
      warnRateLimited(dependencies.logger, { error: errorMessage(e) }, 'a report could not be taken in');
      return { status: 503, body: encode({ error: 'internal trouble' }) };
    }
  };
}

/**
 * Listens until unsubscribed. Each connection is a routine of its own and is torn down with the server. It starts with
 * the reader of reports, and goes to express with the first request that is something else.
 */
export function startHttpServer(dependencies: HttpServerDependencies): Observable<{ readonly port: number }> {
  return new Observable((subscriber) => {
    const connections = new InboundConnections(dependencies.connectionLimits, dependencies.logger);
    const answer = reportAnswers(dependencies);
    const users = http.createServer(createUserApp(dependencies, answer, connections));
    users.keepAliveTimeout = 120_000;
    users.requestTimeout = 15_000;
    const all = new Subscription();
    const intake = new HeartbeatQueue(() => {
      if (listener.reopen())
        dependencies.logger.info(
          { open: connections.open },
          'the queue of new connections is stale: listening anew',
        );
    }, dependencies.coreShare);
    const listener = new Listener(parseTarget(dependencies.address), (socket) => {
      if (!connections.admit()) {
        socket.destroy();
        return;
      }
      const one = new Subscription();
      const handOver = (socket: Socket): void => {
        if (connections.refusesUsers) crowded.add(socket);
        users.emit('connection', socket);
        socket.resume();
      };
      const takesTurns = (): boolean => connections.rotatesWorkers();
      one.add(readHeartbeats(socket, BODY_LIMIT, intake, answer, handOver, takesTurns));
      socket.on('error', () => undefined);
      socket.once('close', () => {
        connections.release();
        one.unsubscribe();
        all.remove(one);
      });
      all.add(one);
    });
    all.add(listener.open().subscribe(subscriber));
    all.add(() => intake.stop());
    all.add(() => users.closeAllConnections());
    return all;
  });
}
