/** @file The response to a heartbeat and its bytes on a connection that is read by hand. */

/** The response to a heartbeat; 421: another controller leads. */
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

/** The response with its head; `close`: no other request is read from the connection. */
export function encodeResponse({ status, body }: HeartbeatResponse, close: boolean): Buffer {
  const head =
    `HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\nContent-Type: application/cbor\r\n` +
    `Content-Length: ${body.length}\r\n${status === 503 ? 'Retry-After: 1\r\n' : ''}` +
    `${close ? 'Connection: close\r\n' : ''}\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}
