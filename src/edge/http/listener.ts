/** @file The listening socket. It owns no connection: those it has accepted are its caller's. */
import { createServer, type Server, type Socket } from 'node:net';
import { Observable } from 'rxjs';
import type { HostAndPort } from '../net/host-and-port.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';

/** The timeout of a worker's connection is 4 s: sooner after reopening, none in the backlog can have timed out. */
const MIN_REOPEN_INTERVAL_MS = 4000;

/**
 * Accepts connections. Those that wait are in the kernel's backlog, first come, first served, from which the engine
 * accepts one in each iteration of the event loop. Once the wait exceeds the clients' timeout, every connection that is
 * accepted has been given up, and it stays so, since its client connects again at the end of the backlog. Reopening the
 * socket resets all that wait; they connect again, to a short backlog. Accepted connections are not touched.
 */
export class Listener {
  private server: Server | null = null;
  private openedAt = 0n;
  /** Opens the socket; does nothing before `open` and after the unsubscription. */
  private listen: () => void = () => undefined;

  constructor(
    private readonly target: HostAndPort,
    private readonly onConnection: (socket: Socket) => void,
  ) {}

  /** Listens until unsubscribed; emits the port each time it begins to listen. */
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

  /** Resets the backlog; false: the socket was opened a moment ago, and nothing is done. */
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
