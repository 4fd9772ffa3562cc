/**
 * @file Leader election: claims the leader key when it is free, or when an earlier process with the same label wrote
 * it, and then starts a term. It owns this process's current term; it must never start a term while another term of
 * this process is running.
 */
import type { Subscription } from 'rxjs';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import { toSeconds } from '../../core/model/time.js';
import { leaderKey } from '../../wire/keys.js';
import { decodeLeader, type LeaderRecord } from '../../wire/leader-record.js';
import { monotonicNow } from '../runtime/clock.js';
import { WakeSignal } from '../runtime/wake-signal.js';
import { isAborted, supervise, errorMessage } from '../runtime/supervised-task.js';
import { jittered } from '../runtime/jitter.js';
import type { ReplicaEntry } from '../state-store/replica-view.js';
import { LeaderTerm } from './leader-term.js';
import type { LeadershipGrant, TermDependencies } from './term-context.js';

const ATTEMPT_INTERVAL_MS = 700;
const CLAIM_SYNC_TIMEOUT_MS = 5000;
/** How long this process makes no claims after stepping down (in nanoseconds), so that another becomes the leader. */
const STEP_DOWN_PAUSE_NS = 15_000_000_000n;
const LEADER_WATCH_INTERVAL_MS = 100;
const STANDBY_WATCH_INTERVAL_MS = 250;
const MIN_LEASE_S = 2.5;
const MAX_LEASE_S = 5;
const RENEWALS_PER_LEASE = 4;

/** What a controller needs to take part in the leader election. */
export interface LeaderElectionDependencies extends Omit<
  TermDependencies,
  'leaderRecord' | 'onEnd' | 'onStepDown'
> {
  readonly label: string;
  /** Identifies this process among all processes that ever ran under the label. */
  readonly incarnation: string;
}

/**
 * The duration of the leadership lease in milliseconds: short enough for a failover well before a worker lease
 * expires, long enough to outlast a brief slowdown.
 */
const leadershipLeaseMs = (config: ClusterConfig): number =>
  Math.round(Math.min(MAX_LEASE_S, Math.max(MIN_LEASE_S, toSeconds(config.workerLease) / 4)) * 1000);

/** Becomes the leader when there is none, and reports which controller is the leader. */
export class LeaderElection {
  private term: LeaderTerm | null = null;
  private readonly wakeSignal = new WakeSignal();
  private pausedUntil = 0n;
  private readonly record: LeaderRecord;
  private readonly key: string;

  constructor(private readonly dependencies: LeaderElectionDependencies) {
    const { label, incarnation, partition } = dependencies;
    this.record = { label, incarnation };
    this.key = leaderKey(partition);
  }

  /** This process's term as leader, or null while it is a standby. */
  get currentTerm(): LeaderTerm | null {
    return this.term;
  }

  /** The label of the current leader according to the replica, or null if there is none. */
  leaderLabel(): string | null {
    const entry = this.dependencies.stateStore.replica.get(this.key);
    return entry === undefined ? null : decodeLeader(entry.value).label;
  }

  /** Takes part in the election until unsubscribed; unsubscribing also ends the current term. */
  start(): Subscription {
    const { stateStore, logger } = this.dependencies;
    const routines = supervise('leader election', logger, (signal) => this.run(signal));
    routines.add(
      stateStore.changes.subscribe((change) => {
        if (change.key === this.key && change.entry === null) this.wakeSignal.wake();
      }),
    );
    routines.add(() => this.term?.end({ kind: 'shutdown' }));
    return routines;
  }

  private async run(signal: AbortSignal): Promise<void> {
    const { stateStore, logger } = this.dependencies;
    while (!signal.aborted) {
      if (this.term === null && stateStore.loaded && monotonicNow() >= this.pausedUntil) {
        try {
          await this.tryBecomeLeader(signal);
        } catch (e) {
          logger.warn({ error: errorMessage(e) }, 'leader election attempt failed');
        }
      }
      await this.wakeSignal.wait(jittered(ATTEMPT_INTERVAL_MS), signal);
    }
  }

  private async tryBecomeLeader(signal: AbortSignal): Promise<void> {
    const { stateStore, config } = this.dependencies;
    const currentEntry = stateStore.replica.get(this.key);
    if (!this.mayClaim(currentEntry)) return;
    const ttlMs = leadershipLeaseMs(config);
    const leaseId = await stateStore.grantLease(ttlMs);
    if (leaseId === null || signal.aborted) return;
    const claimedAt = monotonicNow();
    const fencingToken = await this.claim(currentEntry, leaseId, signal);
    if (fencingToken === null) return;
    this.beginTerm({ fencingToken, claimedAt, leaseId, renewIntervalMs: ttlMs / RENEWALS_PER_LEASE });
  }

  private mayClaim(currentEntry: ReplicaEntry | undefined): boolean {
    if (currentEntry === undefined) return true;
    const leader = decodeLeader(currentEntry.value);
    // An earlier process with this label has certainly ended, because only one process per label runs at a time.
    return leader.label === this.record.label && leader.incarnation !== this.record.incarnation;
  }

  /**
   * Writes the leader key on condition that its mod revision is still that of `currentEntry`, or that the key still
   * does not exist if `currentEntry` is undefined. Returns the key's new mod revision, which is the fencing token, or
   * null if this process did not become the leader.
   */
  private async claim(
    currentEntry: ReplicaEntry | undefined,
    leaseId: number,
    signal: AbortSignal,
  ): Promise<number | null> {
    const { stateStore } = this.dependencies;
    const result = await stateStore.commit(
      [{ key: this.key, modRevision: currentEntry?.modRevision ?? 0 }],
      [{ kind: 'put', key: this.key, value: this.record, leaseId }],
    );
    // The election was stopped in the meantime, so nothing would end a term that starts now. The lease expires by
    // itself.
    if (isAborted(signal)) return null;
    if (
      result.kind !== 'committed' ||
      !(await stateStore.waitForRevision(result.revision, CLAIM_SYNC_TIMEOUT_MS))
    ) {
      // Whatever the result of the claim, the key must not stay attached to a lease that nothing renews.
      await stateStore.revokeLease(leaseId);
      return null;
    }
    return isAborted(signal) ? null : result.revision;
  }

  private beginTerm(grant: LeadershipGrant): void {
    const { stateStore } = this.dependencies;
    const term = new LeaderTerm(
      {
        ...this.dependencies,
        leaderRecord: this.record,
        onStepDown: () => {
          this.pausedUntil = monotonicNow() + STEP_DOWN_PAUSE_NS;
        },
        onEnd: () => {
          if (this.term === term) this.term = null;
          stateStore.watchIntervalMs = STANDBY_WATCH_INTERVAL_MS;
          this.wakeSignal.wake();
        },
      },
      grant,
    );
    this.term = term;
    stateStore.watchIntervalMs = LEADER_WATCH_INTERVAL_MS;
    term.start();
  }
}
