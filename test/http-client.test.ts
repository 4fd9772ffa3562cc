/** @file The HTTP client: response parsing, unknown outcomes and the connection pool. */
import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { HttpClient } from '../src/edge/net/http-client.js';
import { MalformedResponseError, ResponseReader, type HttpResponse } from '../src/edge/net/http-response.js';
import { encode } from '../src/wire/cbor.js';
import { reserveAddress } from './standins/cluster.js';

const LENGTH = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello';
const CHUNKED =
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX: y\r\n\r\n';
const UNTIL_CLOSE = 'HTTP/1.1 503 Service Unavailable\r\n\r\nhello';
const AFTER_CONTINUE = `HTTP/1.1 100 Continue\r\n\r\n${LENGTH}`;

/** Parses a response in pieces of `pieceSize` bytes and then ends the connection; returns null if it is incomplete. */
function readIn(pieceSize: number, text: string): HttpResponse | null {
  const raw = Buffer.from(text, 'latin1');
  const reader = new ResponseReader();
  for (let offset = 0; offset < raw.length; offset += pieceSize) {
    const response = reader.push(raw.subarray(offset, offset + pieceSize));
    if (response !== null) return response;
  }
  return reader.close();
}

test('a response is parsed completely, however the network splits it', () => {
  for (const text of [LENGTH, CHUNKED, UNTIL_CLOSE, AFTER_CONTINUE])
    for (const pieceSize of [1, 2, 7, 1000])
      assert.equal(readIn(pieceSize, text)?.body.toString(), 'hello', text);
  assert.equal(readIn(3, LENGTH)?.keepAlive, true);
  assert.equal(readIn(3, UNTIL_CLOSE)?.keepAlive, false);
  assert.equal(readIn(3, LENGTH.replace('\r\n\r\n', '\r\nconnection: Close\r\n\r\n'))?.keepAlive, false);
  assert.equal(readIn(3, LENGTH.slice(0, -1)), null, 'a truncated body is not a response');
});

test('bytes that are not an HTTP response are rejected at once instead of waiting for more', () => {
  const broken = ['SSH-2.0\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n', 'x'.repeat(20_000)];
  for (const text of broken)
    assert.throws(() => readIn(1000, text), MalformedResponseError, text.slice(0, 40));
  const badChunk = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n';
  assert.throws(() => readIn(1000, badChunk), MalformedResponseError);
});

/** Starts a server on loopback whose responses the test writes to the socket itself. */
async function rawServer(
  onRequest: (socket: Socket) => void,
): Promise<{ address: string; close: () => void }> {
  const address = reserveAddress();
  const [host, port] = address.split(':');
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('data', () => onRequest(socket)).on('error', () => undefined);
  });
  await new Promise<void>((listening) => server.listen(Number(port), host, listening));
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { address, close };
}

const writeOk = (socket: Socket): void => {
  const body = encode({ fine: true });
  socket.write(
    Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`), body]),
  );
};

// The difference decides whether a command may still be executed: only `unsent` proves that it never will be.
test('a request without a connection is unsent, one without a response has an unknown outcome', async () => {
  const unreachable = new HttpClient(reserveAddress(), 1);
  assert.equal((await unreachable.request('GET', '/', undefined, 500)).kind, 'unsent');
  const silent = await rawServer(() => undefined);
  const client = new HttpClient(silent.address, 1);
  const first = client.request('POST', '/', { a: 1 }, 80);
  const queued = client.request('POST', '/', { a: 2 }, 40);
  assert.equal((await queued).kind, 'unsent', 'it was never sent');
  assert.equal((await first).kind, 'unknown');
  silent.close();
  const closing = await rawServer((socket) => socket.destroy());
  assert.equal(
    (await new HttpClient(closing.address, 1).request('GET', '/', undefined, 500)).kind,
    'unknown',
  );
  closing.close();
  const aborted = AbortSignal.abort();
  assert.equal((await unreachable.request('GET', '/', undefined, 500, aborted)).kind, 'unsent');
});

test('connections are kept alive and bounded; queued requests are sent when one is free', async () => {
  const sockets = new Set<Socket>();
  const server = await rawServer((socket) => {
    sockets.add(socket);
    setTimeout(() => writeOk(socket), 5);
  });
  const client = new HttpClient(server.address, 2);
  const outcomes = await Promise.all(
    [1, 2, 3, 4, 5, 6].map(() => client.request('GET', '/', undefined, 1000)),
  );
  assert.deepEqual(new Set(outcomes.map((a) => (a.kind === 'response' ? a.status : a.kind))), new Set([200]));
  assert.equal(sockets.size, 2);
  client.close();
  // A closed pool opens new connections for new requests.
  assert.equal((await client.request('GET', '/', undefined, 1000)).kind, 'response');
  client.close();
  server.close();
});
