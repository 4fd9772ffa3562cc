/** @file The listening socket. Accepted connections belong to the caller. */
import { createServer, type Server, type Socket } from 'node:net';
import { Observable } from 'rxjs';
import type { HostAndPort } from '../net/host-and-port.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';

/**
 * A worker's connection times out after 4 s, so within this time after reopening no connection in the backlog can have
 * timed out.
 */
const MIN_REOPEN_INTERVAL_MS = 4000;

/**
 * Accepts connections. Waiting connections are in the kernel's backlog, a first-in, first-out queue from which Node.js
 * accepts one in each iteration of the event loop. Once the wait exceeds the clients' timeout, every accepted
 * connection has already been given up by its client, and this state persists, because the client connects again at the
 * end of the backlog. Reopening the socket resets all waiting connections, whose clients then connect again to a short
 * backlog. Accepted connections are not affected.
 */
export class Listener {
  private server: Server | null = null;
  private openedAt = 0n;
  /** Opens the socket. Does nothing before `open` is subscribed to and after it is unsubscribed from. */
  private listen: () => void = () => undefined;

  constructor(
    private readonly target: HostAndPort,
    private readonly onConnection: (socket: Socket) => void,
  ) {}

  /** Listens until unsubscribed. Emits the port each time it starts to listen. */
  open(): Observable<{ readonly port: number }> {
    return new Observable((subscriber) => {
      this.listen = () => {
        const server = createServer(this.onConnection);
        server.on('error', (error) => subscriber.error(error));
        server.listen(this.target.port, this.target.host, () =>
          subscriber.next({ port: boundPort(server) ?? this.target.port }),
        );
        this.server = server;
        this.openedAt = monotonicNow();
      };
      this.listen();
      return () => {
        this.listen = () => undefined;
        this.server?.close();
      };
    });
  }

  /** Resets the backlog. Returns false and does nothing if the socket was opened less than `minIntervalMs` ago. */
  reopen(minIntervalMs = MIN_REOPEN_INTERVAL_MS): boolean {
    if (millisecondsSince(this.openedAt) < minIntervalMs) return false;
    this.server?.close();
    this.listen();
    return true;
  }
}

function boundPort(server: Server): number | null {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : null;
}
