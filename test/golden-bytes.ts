/** @file Expected encodings as literals, and their comparison with what is encoded. */
import assert from 'node:assert/strict';
import { decode } from '../src/wire/cbor.js';
import type { RecordedRequest } from './standins/recorder.js';

/**
 * An expected encoding, given as JSON text for the reader and as the bytes on the wire. Both are plain strings, so that
 * renaming an identifier cannot change the expectation.
 */
export interface Golden {
  readonly text: string;
  readonly base64: string;
}

const toJson = (value: unknown): string => JSON.stringify(value);

/** Decodes the golden bytes, and checks them against the JSON text. */
export function decodeGolden(golden: Golden): unknown {
  const value = decode(Buffer.from(golden.base64, 'base64'));
  assert.equal(toJson(value), golden.text, 'the JSON text is that of the bytes');
  return value;
}

/** Checks encoded bytes against the golden ones. */
export function assertBytes(written: Buffer, golden: Golden): void {
  assert.equal(toJson(decode(written)), golden.text);
  assert.equal(written.toString('base64'), golden.base64);
}

/** Checks a request as sent: the request line, the headers (CBOR, if there is a body), and the body, or none if null. */
export function assertRequest(
  sent: RecordedRequest | undefined,
  requestLine: string,
  golden: Golden | null,
): void {
  assert.ok(sent !== undefined, `no request for ${requestLine}`);
  const bodyHeaders =
    golden === null ? '' : `\r\nContent-Type: application/cbor\r\nContent-Length: ${sent.body.length}`;
  const emptyBodyHeader = golden === null && !requestLine.startsWith('GET ') ? '\r\nContent-Length: 0' : '';
  assert.equal(
    sent.head,
    `${requestLine} HTTP/1.1\r\nHost: ADDRESS\r\nConnection: keep-alive${bodyHeaders}${emptyBodyHeader}`,
  );
  if (golden === null) assert.equal(sent.body.length, 0);
  else assertBytes(sent.body, golden);
}
