/** @file A CBOR server on loopback, and a client for requests to controllers. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, encode } from '../../src/wire/cbor.js';

export type Reply = { status: number; body: unknown };
export type Handler = (method: string, url: URL, body: unknown) => Reply | Promise<Reply>;

/** Starts a CBOR server on loopback for a stand-in. */
export async function listen(handler: Handler): Promise<{ address: string; close: () => void }> {
  const server = http.createServer((req, res) => {
    const parts: Buffer[] = [];
    req.on('data', (data: Buffer) => parts.push(data));
    req.on('end', () => {
      const requestBytes = Buffer.concat(parts);
      const url = new URL(req.url ?? '/', 'http://standin');
      void Promise.resolve(
        handler(req.method ?? '', url, requestBytes.length === 0 ? null : decode(requestBytes)),
      ).then((reply) => {
        const responseBytes = encode(reply.body);
        res.writeHead(reply.status, { 'content-length': responseBytes.length });
        res.end(responseBytes);
      });
    });
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    address,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends one request with a CBOR body, as users and workers do; a `Buffer` is sent unencoded. */
export async function call(
  address: string,
  method: string,
  path: string,
  body?: unknown,
  /** Keeps connections open for reuse; if false, each request opens its own connection. */
  agent: http.Agent | false = false,
): Promise<{ status: number; body: Record<string, unknown>; retryAfter: string | undefined }> {
  return new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const encoded = Buffer.isBuffer(body) ? body : encode(body);
    const requestBytes = body === undefined ? null : encoded;
    const headers = requestBytes === null ? {} : { 'content-length': requestBytes.length };
    const req = http.request({ host, port, method, path, agent, headers }, (res) => {
      const parts: Buffer[] = [];
      res.on('data', (data: Buffer) => parts.push(data));
      res.on('end', () => {
        const responseBytes = Buffer.concat(parts);
        const responseBody = (responseBytes.length === 0 ? {} : decode(responseBytes)) as Record<
          string,
          unknown
        >;
        resolve({ status: res.statusCode ?? 0, body: responseBody, retryAfter: res.headers['retry-after'] });
      });
    });
    req.on('error', reject);
    if (requestBytes !== null) req.write(requestBytes);
    req.end();
  });
}
