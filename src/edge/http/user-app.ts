/**
 * @file The express application: user requests, the load balancer's health check, and heartbeats that are not in the
 * plain form that heartbeat-head.ts accepts. It passes requests to the request handler and maps results to responses.
 * It must not make decisions about jobs itself.
 */
import express, { type Express, type NextFunction, type Request, type Response } from 'express';
import { decode } from '../../wire/cbor.js';
import { API_PATHS } from '../../wire/api-paths.js';
import { isJobId, jobIdOf, parseSubmission } from '../../wire/user-protocol.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { errorMessage } from '../runtime/supervised-task.js';
import type { HeartbeatEndpoint } from './heartbeat-endpoint.js';
import type { InboundConnections } from './inbound-connections.js';
import type { RequestHandler } from './request-handler.js';
import type { JobView, RequestResult } from './request-result.js';
import { sendCbor, sendEncoded, sendError, sendNoSuchJob, sendResult } from './responses.js';

/** A larger body is answered with 400, which users do not retry, because the body would be too large each time. */
export const MAX_BODY_BYTES = 64 * 1024;

const JOB_PATH = `${API_PATHS.jobs}/:id` as const;
const CANCEL_PATH = `${JOB_PATH}/${API_PATHS.cancel}` as const;
const ALL_PATHS = [API_PATHS.heartbeat, API_PATHS.jobs, JOB_PATH, CANCEL_PATH, API_PATHS.health];

/** The dependencies of the application. */
export interface UserAppDependencies {
  readonly requests: RequestHandler;
  readonly logger: Logger;
  readonly isHealthy: () => boolean;
}

/** Creates the application. `connections` decides which user connections are refused or rotated. */
export function createUserApp(
  { requests, logger, isHealthy }: UserAppDependencies,
  heartbeats: HeartbeatEndpoint,
  connections: InboundConnections,
): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  addConnectionRules(app, connections, isHealthy);
  app.use(express.raw({ type: () => true, limit: MAX_BODY_BYTES }));
  addHeartbeatRoute(app, heartbeats);
  addJobRoutes(app, requests);
  addHealthRoute(app, isHealthy);
  addErrorResponses(app, logger);
  return app;
}

function addConnectionRules(app: Express, connections: InboundConnections, isHealthy: () => boolean): void {
  app.use((_request: Request, response: Response, next: NextFunction) => {
    // Users keep their connections open. Closing a connection frees its socket for another user, and lets the user's
    // next request reach a healthy controller.
    if (connections.rotatesUserConnections || !isHealthy()) response.setHeader('connection', 'close');
    next();
  });
  // Requests on connections above the user limit are refused before the body is read. The load balancer's health check
  // is still answered.
  app.use((request: Request, response: Response, next: NextFunction) => {
    if (!connections.isOverUserLimit(request.socket) || request.path === API_PATHS.health) return next();
    response.setHeader('retry-after', '1');
    response.setHeader('connection', 'close');
    sendError(response, 503, 'too many connections');
  });
}

function addHeartbeatRoute(app: Express, heartbeats: HeartbeatEndpoint): void {
  app.post(API_PATHS.heartbeat, (request, response) => {
    const { status, body } = heartbeats.respond(rawBody(request) ?? Buffer.alloc(0));
    sendEncoded(response, status, body);
  });
}

function addJobRoutes(app: Express, requests: RequestHandler): void {
  app.post(API_PATHS.jobs, (request, response) => submit(requests, request, response));
  app.get(JOB_PATH, (request, response) =>
    respondForJob(request.params.id, response, (id) => requests.status(id)),
  );
  app.post(CANCEL_PATH, (request, response) =>
    respondForJob(request.params.id, response, (id) => requests.cancel(id)),
  );
}

async function submit(requests: RequestHandler, request: Request, response: Response): Promise<void> {
  const body = decodedBody(request);
  const id = jobIdOf(body);
  const spec = parseSubmission(body);
  if (id === null) return sendError(response, 400, spec.ok ? 'ref: invalid' : spec.reason);
  const result = await requests.submit(id, spec.ok ? spec.value : spec.reason);
  if (result.kind === 'rejected' && !spec.ok) return sendError(response, 400, result.reason);
  sendResult(response, result, 201);
}

async function respondForJob(
  id: string,
  response: Response,
  handleRequest: (id: string) => Promise<RequestResult<JobView>>,
): Promise<void> {
  if (!isJobId(id)) return sendNoSuchJob(response);
  sendResult(response, await handleRequest(id), 200);
}

function addHealthRoute(app: Express, isHealthy: () => boolean): void {
  app.get(API_PATHS.health, (_request, response) => {
    const ok = isHealthy();
    sendCbor(response, ok ? 200 : 503, { ok });
  });
}

function addErrorResponses(app: Express, logger: Logger): void {
  for (const path of ALL_PATHS)
    app.all(path, (_request, response) => sendError(response, 405, 'wrong method'));
  app.use((_request: Request, response: Response) => sendError(response, 404, 'no such path'));
  app.use((error: unknown, _request: Request, response: Response, next: NextFunction) => {
    if (response.headersSent) return next(error);
    if (isClientError(error)) return sendError(response, 400, errorMessage(error));
    warnRateLimited(logger, { error: errorMessage(error) }, 'request failed');
    sendError(response, 503, 'internal trouble', 1);
  });
}

/**
 * Returns whether the client caused an error. The errors of the body parser have a status; it is from 400 to 499 if the
 * body is too large or cannot be read.
 */
function isClientError(error: unknown): boolean {
  const status = (error as { status?: unknown }).status;
  return typeof status === 'number' && status >= 400 && status < 500;
}

const rawBody = (request: Request): Buffer | null => (Buffer.isBuffer(request.body) ? request.body : null);

/** Returns the decoded body, or undefined if it is missing or not CBOR. */
function decodedBody(request: Request): unknown {
  const raw = rawBody(request);
  if (raw === null || raw.length === 0) return undefined;
  try {
    return decode(raw);
  } catch {
    return undefined;
  }
}
