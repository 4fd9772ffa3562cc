/**
 * @file The outgoing half of the link to one peer: it connects, sends this controller's status at an interval, and
 * reconnects when the connection ends. It owns that one connection and ignores what the peer sends on it.
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
/** If more bytes than this wait to be sent to a peer, the peer is stalled or its connection is half-open. */
const MAX_UNSENT_BYTES = 4096;

/** Sends statuses to a peer until the signal is aborted, and reconnects whenever the connection ends. */
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

/** Sends statuses over one connection. Resolves once either side has closed it. */
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
    // The end of the connection is detected only if its data is read.
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
