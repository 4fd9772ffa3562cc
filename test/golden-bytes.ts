/** @file Literal external forms and their comparison. */
import assert from 'node:assert/strict';
import { decode } from '../src/wire/cbor.js';
import type { RecordedRequest } from './standins/recorder.js';

/**
 * Literal external forms. Each is given twice, as JSON text for the reader and as the bytes on the wire, and both are
 * plain strings, so that a renamed identifier cannot change what is expected.
 */
export interface Golden {
  readonly text: string;
  readonly base64: string;
}

const toJson = (value: unknown): string => JSON.stringify(value);

/** The value that the golden bytes hold. */
export function decodeGolden(golden: Golden): unknown {
  const value = decode(Buffer.from(golden.base64, 'base64'));
  assert.equal(toJson(value), golden.text, 'the text beside the bytes says what they hold');
  return value;
}

/** Checks bytes that were written against the golden ones. */
export function assertBytes(written: Buffer, golden: Golden): void {
  assert.equal(toJson(decode(written)), golden.text);
  assert.equal(written.toString('base64'), golden.base64);
}

/** Checks a request as it was sent: its first line, that the head tells of CBOR, and the body; null: there is none. */
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
