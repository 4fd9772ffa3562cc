/**
 * @file The election: claims the leader key when it is free, and begins a term with it. It owns the current term of
 * this process; it must never begin one while another of its own goes on.
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
/** After stepping down this process claims nothing for so long (in nanoseconds): others are to become the leader. */
const STEP_DOWN_PAUSE_NS = 15_000_000_000n;
const LEADER_WATCH_INTERVAL_MS = 100;
const STANDBY_WATCH_INTERVAL_MS = 250;
const MIN_LEASE_S = 2.5;
const MAX_LEASE_S = 5;
const RENEWALS_PER_LEASE = 4;

/** What a controller needs to become the leader. */
export interface LeaderElectionDependencies extends Omit<
  TermDependencies,
  'leaderRecord' | 'onEnd' | 'onStepDown'
> {
  readonly label: string;
  /** Identifies this process among all that ever had the label. */
  readonly incarnation: string;
}

/** Short enough for a failover well before a worker's lease expires, long enough to outlast a slow moment. */
const leadershipLeaseMs = (config: ClusterConfig): number =>
  Math.round(Math.min(MAX_LEASE_S, Math.max(MIN_LEASE_S, toSeconds(config.workerLease) / 4)) * 1000);

/** Becomes the leader when there is none, and knows who the leader is. */
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

  /** This process's term as leader; null while it is a follower. */
  get currentTerm(): LeaderTerm | null {
    return this.term;
  }

  /** The label of the present leader, as far as the replica shows it. */
  leaderLabel(): string | null {
    const entry = this.dependencies.stateStore.replica.get(this.key);
    return entry === undefined ? null : decodeLeader(entry.value).label;
  }

  /** Takes part in the election until unsubscribed, which also ends a term. */
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
    // An earlier process under this label has surely ended: there is one process per label at a time.
    return leader.label === this.record.label && leader.incarnation !== this.record.incarnation;
  }

  /** Writes the leader key on condition that it is as known; returns its mod revision, or null without a leadership. */
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
    // Stopped meanwhile: nobody would end a term that begins now. The lease expires by itself.
    if (isAborted(signal)) return null;
    if (
      result.kind !== 'committed' ||
      !(await stateStore.waitForRevision(result.revision, CLAIM_SYNC_TIMEOUT_MS))
    ) {
      // Whatever the result of the claim, the key must not stay with a lease that nobody renews.
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
