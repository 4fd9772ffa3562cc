/** @file A server that records the bytes of each request. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { encode } from '../../src/wire/cbor.js';

/** One request as received: its body, and its head without the address, which differs from run to run. */
export interface RecordedRequest {
  readonly head: string;
  readonly body: Buffer;
}

/** Starts a server on loopback that records the bytes of each request. Answers none for which `reply` returns null. */
export async function startRecorder(
  reply: (line: string) => { status: number; body: unknown } | null,
): Promise<{ address: string; requests: RecordedRequest[]; close: () => void }> {
  const requests: RecordedRequest[] = [];
  const sockets = new Set<Socket>();
  let address = '';
  const server = createServer((socket) => {
    sockets.add(socket);
    let received = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received = Buffer.concat([received, data]);
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = received.toString('latin1', 0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (received.length < headEnd + 4 + length) return;
      requests.push({ head: head.replace(address, 'ADDRESS'), body: received.subarray(headEnd + 4) });
      received = Buffer.alloc(0);
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
