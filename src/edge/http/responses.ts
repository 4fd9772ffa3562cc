/**
 * @file Maps the results of requests to HTTP responses: status, `Retry-After` and body. No other module does so, except
 * that user-app.ts answers a malformed submission with status 400 instead of 422.
 */
import type { ServerResponse } from 'node:http';
import { encode } from '../../wire/cbor.js';
import { encodeJobStatus } from '../../wire/user-protocol.js';
import type { JobView, RequestResult } from './request-result.js';

/** Sends a response with a CBOR body. */
export function sendCbor(response: ServerResponse, status: number, body: unknown): void {
  sendEncoded(response, status, encode(body));
}

/** Sends a response whose body is already encoded. */
export function sendEncoded(response: ServerResponse, status: number, body: Buffer): void {
  response.writeHead(status, { 'content-type': 'application/cbor', 'content-length': body.length });
  response.end(body);
}

/**
 * Sends an error. If `retryAfterS` is not null, the response asks the user to repeat the request after that many
 * seconds.
 */
export function sendError(
  response: ServerResponse,
  status: number,
  reason: string,
  retryAfterS: number | null = null,
): void {
  if (retryAfterS !== null) response.setHeader('retry-after', String(retryAfterS));
  sendCbor(response, status, { error: reason });
}

/** Sends the response for a job id that does not exist or cannot exist. */
export const sendNoSuchJob = (response: ServerResponse): void => sendError(response, 404, 'no such job');

/** Sends the result of a request. `statusIfChanged` is the HTTP status if the request itself made the change. */
export function sendResult(
  response: ServerResponse,
  result: RequestResult<JobView>,
  statusIfChanged: 200 | 201,
): void {
  switch (result.kind) {
    case 'ok':
      sendCbor(response, result.changedByRequest ? statusIfChanged : 200, encodeJobView(result.value));
      break;
    case 'not-found':
      sendNoSuchJob(response);
      break;
    case 'rejected':
      sendError(response, 422, result.reason);
      break;
    case 'unavailable':
      sendError(response, 503, result.reason, result.retryAfterS);
      break;
  }
}

const encodeJobView = ({ id, status, completedTasks, runningTasks }: JobView): unknown =>
  encodeJobStatus(id, status, { id, done: completedTasks, running: runningTasks });
