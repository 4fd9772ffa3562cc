import { createServer, connect, type Socket } from 'node:net';
import { Observable, Subscription, fromEvent, interval, takeUntil } from 'rxjs';
import { FrameReader, encodeStatus, type ControllerStatus } from '../../wire/controller-status-frame.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { supervise, errorMessage, sleep } from '../runtime/supervised-task.js';
import { parseTarget } from '../net/http-client.js';
import { jittered } from '../runtime/jitter.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';

/** Another controller. */
export interface Peer {
  readonly label: string;
  readonly endpoint: string;
}

const TELL_MS = 400;
const CONNECT_MS = 1000;
const SILENT_MS = 5000;
/** A peer that takes in nothing for so many bytes is half-open or stalled. */
const BACKLOG = 4096;
/** A word older than this says nothing about now. */
const RECENT_MS = 1500;

/**
 * The link between controllers: each dials the others and tells its status a few times a second. It tells an outage of
 * the state service from one that only we see. Nothing safe depends on it: a peer may refuse, lie, stall or be cut off.
 */
export class PeerLinks {
  private readonly heard = new Map<string, { readonly status: ControllerStatus; readonly at: bigint }>();

  constructor(
    private readonly addr: string,
    private readonly known: readonly Peer[],
    private readonly own: () => ControllerStatus,
    private readonly logger: Logger,
  ) {}

  /** How many other controllers there are. */
  get peerCount(): number {
    return this.known.length;
  }

  /** How many other controllers have lately been answered by the state service. */
  peersServing(): number {
    let serving = 0;
    for (const { status, at } of this.heard.values()) {
      const age = millisecondsSince(at);
      if (
        age < RECENT_MS &&
        status.stateStoreContactMs !== null &&
        status.stateStoreContactMs + age < 2 * RECENT_MS
      )
        serving += 1;
    }
    return serving;
  }

  start(): Subscription {
    const all = new Subscription();
    all.add(this.listen().subscribe());
    for (const peer of this.known)
      all.add(supervise(`peer ${peer.label}`, this.logger, (signal) => this.dial(peer, signal)));
    return all;
  }

  private listen(): Observable<never> {
    return new Observable((subscriber) => {
      const all = new Subscription();
      const server = createServer((socket) => {
        const one = this.listenTo(socket);
        all.add(one);
        one.add(() => all.remove(one));
      });
      server.maxConnections = 4 * Math.max(1, this.known.length);
      // Without the link we go on as one who hears no peer.
      server.on('error', (e) =>
        this.logger.warn({ error: errorMessage(e) }, 'cannot listen for other controllers'),
      );
      const at = parseTarget(this.addr);
      server.listen(at.port, at.host);
      subscriber.add(() => {
        all.unsubscribe();
        server.close();
      });
    });
  }

  /** One connection from a peer. */
  private listenTo(socket: Socket): Subscription {
    const reader = new FrameReader();
    const one = new Subscription(() => socket.destroy());
    const closed = fromEvent(socket, 'close');
    socket.setTimeout(SILENT_MS, () => socket.destroy());
    one.add(
      fromEvent(socket, 'error')
        .pipe(takeUntil(closed))
        .subscribe({ complete: () => one.unsubscribe() }),
    );
    one.add(
      (fromEvent(socket, 'data') as Observable<Buffer>).pipe(takeUntil(closed)).subscribe((data) => {
        try {
          for (const status of reader.push(data)) this.take(status);
        } catch (e) {
          warnRateLimited(this.logger, { error: errorMessage(e) }, 'a controller sent what cannot be read');
          socket.destroy();
        }
      }),
    );
    return one;
  }

  private take(status: ControllerStatus): void {
    if (this.known.some((peer) => peer.label === status.label))
      this.heard.set(status.label, { status, at: monotonicNow() });
  }

  private async dial(peer: Peer, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.tell(peer, signal);
      await sleep(jittered(1000), signal);
    }
  }

  /** Tells a peer our status until the connection ends. */
  private tell(peer: Peer, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const at = parseTarget(peer.endpoint);
      const socket = connect({ host: at.host, port: at.port });
      const routine = new Subscription(() => socket.destroy());
      const timer = setTimeout(() => socket.destroy(), CONNECT_MS);
      const stop = (): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', stop);
        routine.unsubscribe();
        resolve();
      };
      signal.addEventListener('abort', stop);
      socket.on('error', () => socket.destroy());
      socket.on('close', stop);
      socket.on('data', () => undefined);
      socket.once('connect', () => {
        clearTimeout(timer);
        socket.setNoDelay(true);
        socket.write(encodeStatus(this.own()));
        routine.add(
          interval(TELL_MS).subscribe(() => {
            if (socket.writableLength > BACKLOG) socket.destroy();
            else socket.write(encodeStatus(this.own()));
          }),
        );
      });
    });
  }
}
