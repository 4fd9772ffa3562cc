/** @file A server that records the bytes of each request. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { encode } from '../../src/wire/cbor.js';

/** One request as it came: its head without the address, which differs from run to run, and its body. */
export interface RecordedRequest {
  readonly head: string;
  readonly body: Buffer;
}

/** A server on loopback that keeps each request's bytes. Where there is no reply the request waits for good. */
export async function startRecorder(
  reply: (line: string) => { status: number; body: unknown } | null,
): Promise<{ address: string; requests: RecordedRequest[]; close: () => void }> {
  const requests: RecordedRequest[] = [];
  const sockets = new Set<Socket>();
  let address = '';
  const server = createServer((socket) => {
    sockets.add(socket);
    let raw = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      raw = Buffer.concat([raw, data]);
      const end = raw.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = raw.toString('latin1', 0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (raw.length < end + 4 + length) return;
      requests.push({ head: head.replace(address, 'ADDRESS'), body: raw.subarray(end + 4) });
      raw = Buffer.alloc(0);
      const answer = reply(head.slice(0, head.indexOf(' HTTP/')));
      if (answer === null) return;
      const body = encode(answer.body);
      socket.write(
        Buffer.concat([
          Buffer.from(`HTTP/1.1 ${answer.status} X\r\nContent-Length: ${body.length}\r\n\r\n`),
          body,
        ]),
      );
    });
  });
  await new Promise<void>((listening) => server.listen(0, '127.0.0.1', listening));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { address, requests, close };
}
