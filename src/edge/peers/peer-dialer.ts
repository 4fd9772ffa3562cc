/**
 * @file The outgoing half of the link to one peer: it dials, sends this controller's status at an interval, and dials
 * again when the connection ends. It owns that one connection and takes no notice of what the peer sends on it.
 */
import { connect, type Socket } from 'node:net';
import { Subscription, interval } from 'rxjs';
import { encodeStatus, type ControllerStatus } from '../../wire/controller-status-frame.js';
import { sleep } from '../runtime/supervised-task.js';
import { parseHostAndPort } from '../net/host-and-port.js';
import { jittered } from '../runtime/jitter.js';

const STATUS_INTERVAL_MS = 400;
const CONNECT_TIMEOUT_MS = 1000;
const REDIAL_DELAY_MS = 1000;
/** A peer that leaves more than so many bytes unread is half-open or stalled. */
const MAX_UNSENT_BYTES = 4096;

/** Sends statuses to a peer, over one connection after the other, until the signal is given. */
export async function sendStatuses(
  endpoint: string,
  ownStatus: () => ControllerStatus,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await sendUntilClosed(endpoint, ownStatus, signal);
    await sleep(jittered(REDIAL_DELAY_MS), signal);
  }
}

/** One connection: resolves once it is closed, by whichever side. */
function sendUntilClosed(
  endpoint: string,
  ownStatus: () => ControllerStatus,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const { host, port } = parseHostAndPort(endpoint);
    const socket = connect({ host, port });
    const connection = new Subscription(() => socket.destroy());
    const connectTimeout = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const stop = (): void => {
      clearTimeout(connectTimeout);
      signal.removeEventListener('abort', stop);
      connection.unsubscribe();
      resolve();
    };
    signal.addEventListener('abort', stop);
    socket.on('error', () => socket.destroy());
    socket.on('close', stop);
    // Without a reader the end of the connection would not be noticed.
    socket.on('data', () => undefined);
    socket.once('connect', () => {
      clearTimeout(connectTimeout);
      connection.add(sendAtInterval(socket, ownStatus));
    });
  });
}

function sendAtInterval(socket: Socket, ownStatus: () => ControllerStatus): Subscription {
  socket.setNoDelay(true);
  socket.write(encodeStatus(ownStatus()));
  return interval(STATUS_INTERVAL_MS).subscribe(() => {
    if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
    else socket.write(encodeStatus(ownStatus()));
  });
}
