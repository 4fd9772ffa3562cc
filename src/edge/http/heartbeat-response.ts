/** @file The response to a heartbeat, and its encoding for connections that bypass the general HTTP server. */

/** The response to a heartbeat. Status 421 means that another controller is the leader. */
export interface HeartbeatResponse {
  readonly status: 200 | 400 | 421 | 503;
  readonly body: Buffer;
}

const REASON_PHRASES = {
  200: 'OK',
  400: 'Bad Request',
  421: 'Misdirected Request',
  503: 'Service Unavailable',
} as const;

/** Encodes a response with its head. If `close` is true, no further request is read from the connection. */
export function encodeResponse({ status, body }: HeartbeatResponse, close: boolean): Buffer {
  const head =
    `HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\nContent-Type: application/cbor\r\n` +
    `Content-Length: ${body.length}\r\n${status === 503 ? 'Retry-After: 1\r\n' : ''}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}
