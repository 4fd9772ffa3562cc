/**
 * @file The state store as a controller uses it: the replica for reads, the client for writes and leases, and
 * linearizable reads of the replica.
 */
import type { Observable, Subscription } from 'rxjs';
import type { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';
import { monotonicNow } from '../runtime/clock.js';
import type { Logger } from '../runtime/logger.js';
import { CoalescedRead } from './coalesced-read.js';
import type { KeyChange, ReplicaEntry, ReplicaView } from './replica-view.js';
import {
  StateStoreClient,
  type CommitResult,
  type LeaseRenewal,
  type ReadResult,
} from './state-store-client.js';
import { WatchedReplica } from './watched-replica.js';

/** Minimum time between two reads of the current revision. */
const BARRIER_INTERVAL_MS = 200;
const BARRIER_TIMEOUT_MS = 1000;

/** The state store's revision at some moment between sending a request and receiving its response. */
interface RevisionBarrier {
  readonly revision: number;
  readonly sentAt: bigint;
}

/** The state store: a watched replica of this cluster's keys, transactions, leases and linearizable reads. */
export class StateStore implements ReplicaView {
  private readonly client: StateStoreClient;
  private readonly watchedReplica: WatchedReplica;
  private readonly barrierRead = new CoalescedRead(BARRIER_INTERVAL_MS, () => this.readBarrier());
  private syncedAt = 0n;

  constructor(
    address: string,
    private readonly logger: Logger,
  ) {
    this.client = new StateStoreClient(address, logger);
    this.watchedReplica = new WatchedReplica(this.client, logger);
  }

  /** Loads the replica and keeps it up to date until unsubscribed. */
  start(): Subscription {
    return this.watchedReplica.start();
  }

  get replica(): ReadonlyMap<string, ReplicaEntry> {
    return this.watchedReplica.replica;
  }

  get changes(): Observable<KeyChange> {
    return this.watchedReplica.changes;
  }

  get reloading(): boolean {
    return this.watchedReplica.reloading;
  }

  /** The revision up to which the replica holds every change; negative if it was never loaded. */
  get revision(): number {
    return this.watchedReplica.revision;
  }

  /** True if the replica was ever completely loaded. */
  get loaded(): boolean {
    return this.watchedReplica.loaded;
  }

  /** The minimum time between two watch requests. A leader uses a shorter interval than a standby. */
  set watchIntervalMs(intervalMs: number) {
    this.watchedReplica.watchIntervalMs = intervalMs;
  }

  /**
   * When the latest barrier that the replica has reached was sent: the replica holds every change committed before
   * that moment. 0n if no barrier has been reached yet.
   */
  get lastSyncedAt(): bigint {
    return this.syncedAt;
  }

  /** See {@link ReplicaView.replaceWithSummary}. */
  replaceWithSummary(key: string, summary: FinishedJobSummary): void {
    this.watchedReplica.replaceWithSummary(key, summary);
  }

  /** See {@link WatchedReplica.waitForRevision}. */
  waitForRevision(revision: number, timeoutMs: number): Promise<boolean> {
    return this.watchedReplica.waitForRevision(revision, timeoutMs);
  }

  /**
   * Makes reads of the replica linearizable: resolves to true once the replica holds every change committed before
   * this call, or to false if that fails or takes too long.
   */
  async syncReplica(timeoutMs: number): Promise<boolean> {
    const barrier = await this.barrierRead.request();
    if (barrier === null) return false;
    const synced = await this.watchedReplica.waitForRevision(barrier.revision, timeoutMs);
    if (synced && barrier.sentAt > this.syncedAt) this.syncedAt = barrier.sentAt;
    this.logger.debug({ barrier: barrier.revision, revision: this.revision, synced }, 'replica sync');
    return synced;
  }

  private async readBarrier(): Promise<RevisionBarrier | null> {
    const sentAt = monotonicNow();
    const result = await this.client.commit([], [], BARRIER_TIMEOUT_MS);
    return result.kind === 'committed' ? { revision: result.revision, sentAt } : null;
  }

  /** See {@link StateStoreClient.commit}. */
  commit(
    conditions: readonly CompareCondition[],
    operations: readonly WriteOperation[],
    timeoutMs?: number,
  ): Promise<CommitResult> {
    return this.client.commit(conditions, operations, timeoutMs);
  }

  /** See {@link StateStoreClient.read}. */
  read(key: string, timeoutMs: number): Promise<ReadResult> {
    return this.client.read(key, timeoutMs);
  }

  /** See {@link StateStoreClient.grantLease}. */
  grantLease(ttlMs: number): Promise<number | null> {
    return this.client.grantLease(ttlMs);
  }

  /** See {@link StateStoreClient.renewLease}. */
  renewLease(leaseId: number): Promise<LeaseRenewal> {
    return this.client.renewLease(leaseId);
  }

  /** See {@link StateStoreClient.revokeLease}. */
  revokeLease(leaseId: number): Promise<void> {
    return this.client.revokeLease(leaseId);
  }
}
