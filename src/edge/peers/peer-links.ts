/**
 * @file The links between controllers. It owns the latest status received from each of the other controllers. Safety
 * must not depend on these statuses, because a peer may refuse contact, send false values, stall or be partitioned from
 * this controller.
 */
import { Subscription } from 'rxjs';
import type { ControllerStatus } from '../../wire/controller-status-frame.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { supervise } from '../runtime/supervised-task.js';
import type { Logger } from '../runtime/logger.js';
import { sendStatuses } from './peer-dialer.js';
import { listenForPeers } from './peer-listener.js';

/** Another controller. */
export interface Peer {
  readonly label: string;
  readonly endpoint: string;
}

/** A status older than this is ignored, because it may be outdated. */
const MAX_STATUS_AGE_MS = 1500;
/** A peer whose last contact with the state store is older than this does not count as served by it. */
const MAX_STATE_STORE_CONTACT_AGE_MS = 2 * MAX_STATUS_AGE_MS;

/** A peer's last status, and the time when it was received. */
interface ReceivedStatus {
  readonly status: ControllerStatus;
  readonly receivedAt: bigint;
}

/**
 * Exchanges statuses with the other controllers: each controller connects to all others and sends its status a few
 * times per second. This distinguishes an outage of the state store from a partition that cuts off only this
 * controller.
 */
export class PeerLinks {
  private readonly statuses = new Map<string, ReceivedStatus>();

  constructor(
    private readonly address: string,
    private readonly peers: readonly Peer[],
    private readonly ownStatus: () => ControllerStatus,
    private readonly logger: Logger,
  ) {}

  /** Number of other controllers. */
  get peerCount(): number {
    return this.peers.length;
  }

  /** Returns the number of other controllers that the state store has served recently. */
  peersServing(): number {
    let serving = 0;
    for (const { status, receivedAt } of this.statuses.values()) {
      const ageMs = millisecondsSince(receivedAt);
      if (
        ageMs < MAX_STATUS_AGE_MS &&
        status.stateStoreContactMs !== null &&
        status.stateStoreContactMs + ageMs < MAX_STATE_STORE_CONTACT_AGE_MS
      )
        serving += 1;
    }
    return serving;
  }

  /** Listens for the other controllers and connects to them until unsubscribed. */
  start(): Subscription {
    const subscriptions = new Subscription();
    const listener = listenForPeers({
      address: this.address,
      peerCount: this.peerCount,
      onStatus: (status) => this.receive(status),
      logger: this.logger,
    });
    subscriptions.add(listener.subscribe());
    for (const peer of this.peers)
      subscriptions.add(
        supervise(`peer ${peer.label}`, this.logger, (signal) =>
          sendStatuses(peer.endpoint, this.ownStatus, signal),
        ),
      );
    return subscriptions;
  }

  private receive(status: ControllerStatus): void {
    if (this.peers.some((peer) => peer.label === status.label))
      this.statuses.set(status.label, { status, receivedAt: monotonicNow() });
  }
}
