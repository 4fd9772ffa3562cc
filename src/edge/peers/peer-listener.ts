/**
 * @file The server that receives the other controllers' statuses. It owns the listening socket and the connections that
 * peers open. It closes a connection that is idle, broken or sends malformed frames, and never writes to one.
 */
import { createServer, type Server, type Socket } from 'node:net';
import { Observable, Subscription, fromEvent, takeUntil } from 'rxjs';
import { FrameReader, type ControllerStatus } from '../../wire/controller-status-frame.js';
import { errorMessage } from '../runtime/supervised-task.js';
import { parseHostAndPort } from '../net/host-and-port.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';

const IDLE_TIMEOUT_MS = 5000;
/** Leaves room for earlier connections of a peer that are not closed yet. */
const CONNECTIONS_PER_PEER = 4;

/** The options of the listener. */
export interface PeerListenerOptions {
  readonly address: string;
  readonly peerCount: number;
  readonly onStatus: (status: ControllerStatus) => void;
  readonly logger: Logger;
}

/** Listens while subscribed to; unsubscribing closes the server and all its connections. */
export function listenForPeers(options: PeerListenerOptions): Observable<never> {
  return new Observable((subscriber) => {
    const connections = new Subscription();
    const server = createServer((socket) => {
      const connection = receiveStatuses(socket, options);
      connections.add(connection);
      connection.add(() => connections.remove(connection));
    });
    listen(server, options);
    subscriber.add(() => {
      connections.unsubscribe();
      server.close();
    });
  });
}

function listen(server: Server, { address, peerCount, logger }: PeerListenerOptions): void {
  server.maxConnections = CONNECTIONS_PER_PEER * Math.max(1, peerCount);
  // Without a listener, the controller continues to run as if no peer sent its status.
  server.on('error', (e) => logger.warn({ error: errorMessage(e) }, 'peer listener failed'));
  const { host, port } = parseHostAndPort(address);
  server.listen(port, host);
}

/** Reads the statuses of one connection until it ends. */
function receiveStatuses(socket: Socket, { onStatus, logger }: PeerListenerOptions): Subscription {
  const reader = new FrameReader();
  const connection = new Subscription(() => socket.destroy());
  const closed = fromEvent(socket, 'close');
  socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  // Without a subscription to `error`, a broken connection would end the process. `close` follows each error.
  connection.add(
    fromEvent(socket, 'error')
      .pipe(takeUntil(closed))
      .subscribe({ complete: () => connection.unsubscribe() }),
  );
  connection.add(
    (fromEvent(socket, 'data') as Observable<Buffer>).pipe(takeUntil(closed)).subscribe((data) => {
      try {
        for (const status of reader.push(data)) onStatus(status);
      } catch (error) {
        warnRateLimited(logger, { error: errorMessage(error) }, 'malformed peer frame');
        socket.destroy();
      }
    }),
  );
  return connection;
}
