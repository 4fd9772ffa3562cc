/**
 * @file The state store as a controller uses it: the replica for reads, the client for writes and leases, and reads of
 * the replica that are linearizable.
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

/** Least time between two reads of the current revision. */
const BARRIER_INTERVAL_MS = 200;
const BARRIER_TIMEOUT_MS = 1000;

/** The state store's revision at some moment between the sending of a request and its answer. */
interface RevisionBarrier {
  readonly revision: number;
  readonly sentAt: bigint;
}

/** The state store: a watched replica of this cluster's keys, transactions, leases and linearizable reads. */
export class StateStore implements ReplicaView {
  private readonly client: StateStoreClient;
  private readonly watchedReplica: WatchedReplica;
  private readonly barrier = new CoalescedRead(BARRIER_INTERVAL_MS, () => this.readBarrier());
  private syncedAt = 0n;

  constructor(
    address: string,
    private readonly logger: Logger,
  ) {
    this.client = new StateStoreClient(address, logger);
    this.watchedReplica = new WatchedReplica(this.client, logger);
  }

  /** Loads the replica and keeps it up until unsubscribed. */
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

  /** The revision up to which the replica holds every change; negative while it was never loaded. */
  get revision(): number {
    return this.watchedReplica.revision;
  }

  /** Whether the replica was ever loaded as a whole. */
  get loaded(): boolean {
    return this.watchedReplica.loaded;
  }

  /** The least time between two watch requests. A leader watches more closely than a follower. */
  set watchIntervalMs(intervalMs: number) {
    this.watchedReplica.watchIntervalMs = intervalMs;
  }

  /** A moment of which the replica is known to hold every earlier change: the sending of the last barrier it reached; 0n: none yet. */
  get lastSyncedAt(): bigint {
    return this.syncedAt;
  }

  /** See {@link WatchedReplica.replaceWithSummary}. */
  replaceWithSummary(key: string, summary: FinishedJobSummary): void {
    this.watchedReplica.replaceWithSummary(key, summary);
  }

  /** See {@link WatchedReplica.waitForRevision}. */
  waitForRevision(revision: number, timeoutMs: number): Promise<boolean> {
    return this.watchedReplica.waitForRevision(revision, timeoutMs);
  }

  /** A linearizable read: true once the replica holds every change committed before this call. */
  async syncReplica(timeoutMs: number): Promise<boolean> {
    const barrier = await this.barrier.request();
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
