import { createServer, type Server, type Socket } from 'node:net';
import { Observable } from 'rxjs';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import type { Target } from '../net/http-client.js';

/** A worker waits for 4 s: sooner after listening anew nothing can have been given up for its place in the queue. */
const REOPEN_MS = 4000;

/**
 * Where connections come in. What waits to be taken in is a queue of the kernel's, first come, first served, of which the
 * engine takes one each time round its loop. Once the wait is longer than those who wait have patience, all that comes
 * out of it has been given up, and it stays so, since they come again at its end. Listening anew resets all that wait;
 * they come again, to a short queue. Connections that were taken in are not touched.
 */
export class Listener {
  private server: Server | null = null;
  private openedAt = 0n;

  constructor(
    private readonly at: Target,
    private readonly onConnection: (socket: Socket) => void,
  ) {}

  /** Listens until unsubscribed; tells the port each time it does so. */
  open(): Observable<{ readonly port: number }> {
    return new Observable((subscriber) => {
      this.listen = () => {
        const server = createServer(this.onConnection);
        server.on('error', (e) => subscriber.error(e));
        server.listen(this.at.port, this.at.host, () => {
          const bound = server.address();
          const port = typeof bound === 'object' && bound !== null ? bound.port : this.at.port;
          subscriber.next({ port });
        });
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

  /** Resets what waits to be taken in; false: it was done a moment ago, and nothing is done. */
  reopen(leastMs = REOPEN_MS): boolean {
    if (millisecondsSince(this.openedAt) < leastMs) return false;
    this.server?.close();
    this.listen();
    return true;
  }

  private listen: () => void = () => undefined;
}
