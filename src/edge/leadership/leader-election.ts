import type { Subscription } from 'rxjs';
import { toSeconds } from '../../core/model/time.js';
import { leaderKey } from '../../wire/keys.js';
import { decodeLeader, type LeaderRecord } from '../../wire/leader-record.js';
import { monotonicNow } from '../runtime/clock.js';
import { WakeSignal } from '../runtime/wake-signal.js';
import { isAborted, supervise, errorMessage } from '../runtime/supervised-task.js';
import { jittered } from '../runtime/jitter.js';
import { LeaderTerm } from './leader-term.js';
import type { TermDependencies } from './term-context.js';

/** What a controller needs to take a part. */
export interface LeaderElectionDependencies extends Omit<
  TermDependencies,
  'leaderRecord' | 'onEnd' | 'onStepDown'
> {
  readonly label: string;
  /** Names this process, among all that ever had the label. */
  readonly incarnation: string;
}

/** Takes a part when it is free, and says who has it. */
export class LeaderElection {
  private current: LeaderTerm | null = null;
  private readonly wake = new WakeSignal();
  private restsUntil = 0n;
  private readonly record: LeaderRecord;

  constructor(private readonly dependencies: LeaderElectionDependencies) {
    const { label, incarnation } = dependencies;
    this.record = { label, incarnation };
  }

  get currentTerm(): LeaderTerm | null {
    return this.current;
  }

  /** The label of the part's present owner, as far as the followed copy knows. */
  leaderLabel(): string | null {
    const entry = this.dependencies.stateStore.replica.get(leaderKey(this.dependencies.partition));
    return entry === undefined ? null : decodeLeader(entry.value).label;
  }

  start(): Subscription {
    const routines = supervise('ownership', this.dependencies.logger, (signal) => this.run(signal));
    routines.add(
      this.dependencies.stateStore.changes.subscribe((change) => {
        if (change.key === leaderKey(this.dependencies.partition) && change.entry === null) this.wake.wake();
      }),
    );
    routines.add(() => this.current?.end('stopping'));
    return routines;
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.current === null && this.dependencies.stateStore.loaded && monotonicNow() >= this.restsUntil) {
        try {
          await this.attempt(signal);
        } catch (e) {
          this.dependencies.logger.warn({ error: errorMessage(e) }, 'taking the part failed');
        }
      }
      await this.wake.wait(jittered(700), signal);
    }
  }

  private async attempt(signal: AbortSignal): Promise<void> {
    const key = leaderKey(this.dependencies.partition);
    const known = this.dependencies.stateStore.replica.get(key);
    if (known !== undefined) {
      const holder = decodeLeader(known.value);
      // An earlier process under our own label has surely ended: there is one process per label at a time.
      if (holder.label !== this.record.label) return;
      if (holder.incarnation === this.record.incarnation) return;
    }
    const ttlMs = this.leaseMs();
    const lease = await this.dependencies.stateStore.grantLease(ttlMs);
    if (lease === null || signal.aborted) return;
    const sent = monotonicNow();
    const result = await this.dependencies.stateStore.commit(
      [{ key, modRevision: known?.modRevision ?? 0 }],
      [{ kind: 'put', key, value: this.record, leaseId: lease }],
    );
    // Stopped meanwhile: nobody would end a term that begins now. The lease runs out by itself.
    if (isAborted(signal)) return;
    if (result.kind !== 'committed') {
      // Whatever became of it, the key must not stay with a lease that nobody renews.
      await this.dependencies.stateStore.revokeLease(lease);
      return;
    }
    if (!(await this.dependencies.stateStore.waitForRevision(result.revision, 5000))) {
      await this.dependencies.stateStore.revokeLease(lease);
      return;
    }
    if (isAborted(signal)) return;
    this.begin(result.revision, sent, lease, ttlMs);
  }

  private begin(fencingToken: number, claimed: bigint, lease: number, ttlMs: number): void {
    const term = new LeaderTerm(
      {
        ...this.dependencies,
        leaderRecord: this.record,
        onStepDown: () => {
          this.restsUntil = monotonicNow() + REST;
        },
        onEnd: () => {
          if (this.current === term) this.current = null;
          this.dependencies.stateStore.watchIntervalMs = FOLLOWER_GAP_MS;
          this.wake.wake();
        },
      },
      fencingToken,
      claimed,
      lease,
      ttlMs / 4,
    );
    this.current = term;
    this.dependencies.stateStore.watchIntervalMs = OWNER_GAP_MS;
    term.start();
  }

  /** Short enough for a takeover well before a worker's lease ends, long enough for a slow moment. */
  private leaseMs(): number {
    return Math.round(Math.min(5, Math.max(2.5, toSeconds(this.dependencies.config.workerLease) / 4)) * 1000);
  }
}

/** After giving the part up, others have this long to take it. */
const REST = 15_000_000_000n;
const OWNER_GAP_MS = 100;
const FOLLOWER_GAP_MS = 250;
