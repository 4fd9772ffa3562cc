/**
 * @file Finds the body of a heartbeat in the bytes of a connection. It accepts only the plain form, a `POST` to the
 * heartbeat path with a `Content-Length`, and must not accept anything else as a heartbeat. All other requests are read
 * by the general HTTP server.
 */
import { API_PATHS } from '../../wire/api-paths.js';

const REQUEST_LINE = `POST ${API_PATHS.heartbeat} HTTP/1.1\r\n`;
const HEAD_END = Buffer.from('\r\n\r\n');
/**
 * No worker sends a longer head. A request whose head is still incomplete after more bytes than this is left to the
 * general server, which has its own limit.
 */
export const MAX_HEAD_BYTES = 8 * 1024;

/** Classification of the bytes received so far. */
export type ParsedHead =
  /** A complete heartbeat. `close` is true if the worker requests that the connection be closed after the response. */
  | {
      readonly kind: 'heartbeat';
      readonly bodyStart: number;
      readonly bodyEnd: number;
      readonly close: boolean;
    }
  /** The beginning of a request that may be a heartbeat. */
  | { readonly kind: 'incomplete' }
  /** A request for the general server. */
  | { readonly kind: 'other' };

interface HeadFields {
  readonly contentLength: number;
  readonly close: boolean;
}

/** Parses the request at the start of `raw`, which may hold less or more than one request. */
export function parseHead(raw: Buffer, maxBodyBytes: number): ParsedHead {
  const compared = Math.min(raw.length, REQUEST_LINE.length);
  if (raw.toString('latin1', 0, compared) !== REQUEST_LINE.slice(0, compared)) return { kind: 'other' };
  const headEnd = raw.indexOf(HEAD_END);
  if (headEnd < 0) return raw.length > MAX_HEAD_BYTES ? { kind: 'other' } : { kind: 'incomplete' };
  const fields = parseFields(raw.toString('latin1', REQUEST_LINE.length, headEnd));
  if (fields === null || fields.contentLength > maxBodyBytes) return { kind: 'other' };
  const bodyStart = headEnd + HEAD_END.length;
  const bodyEnd = bodyStart + fields.contentLength;
  if (raw.length < bodyEnd) return { kind: 'incomplete' };
  return { kind: 'heartbeat', bodyStart, bodyEnd, close: fields.close };
}

/** Returns the relevant header fields, or null if they are not those of a plain heartbeat. */
function parseFields(text: string): HeadFields | null {
  let contentLength = -1;
  let close = false;
  for (const line of text.toLowerCase().split('\r\n')) {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon);
    const value = line.slice(colon + 1).trim();
    if (name === 'content-length') {
      if (contentLength >= 0 || !/^\d{1,9}$/.test(value)) return null;
      contentLength = Number(value);
    } else if (name === 'connection') close = value === 'close';
    else if (name === 'transfer-encoding' || name === 'expect' || name === 'upgrade') return null;
  }
  return contentLength < 0 ? null : { contentLength, close };
}
