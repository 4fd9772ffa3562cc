import type { Subscription } from 'rxjs';
import { toSeconds } from '../../core/model/time.js';
import { partKey, readPart, type PartRecord } from '../../wire/records.js';
import { monotonicNow } from '../runtime/clock.js';
import { WakeSignal } from '../runtime/wake-signal.js';
import { isAborted, supervise, messageOf } from '../runtime/supervised-task.js';
import { jittered } from '../runtime/jitter.js';
import { Term } from './leader-term.js';
import type { TermDependencies } from './term-context.js';

/** What a controller needs to take a part. */
export interface OwnershipDependencies extends Omit<TermDependencies, 'record' | 'onEnd' | 'onAbdicate'> {
  readonly label: string;
  /** Names this process, among all that ever had the label. */
  readonly incarnation: string;
}

/** Takes a part when it is free, and says who has it. */
export class Ownership {
  private current: Term | null = null;
  private readonly wake = new WakeSignal();
  private restsUntil = 0n;
  private readonly record: PartRecord;

  constructor(private readonly dependencies: OwnershipDependencies) {
    const { label, incarnation } = dependencies;
    this.record = { label, incarnation };
  }

  get term(): Term | null {
    return this.current;
  }

  /** The label of the part's present owner, as far as the followed copy knows. */
  ownerLabel(): string | null {
    const entry = this.dependencies.store.copy.get(partKey(this.dependencies.part));
    return entry === undefined ? null : readPart(entry.value).label;
  }

  start(): Subscription {
    const routines = supervise('ownership', this.dependencies.log, (signal) => this.run(signal));
    routines.add(
      this.dependencies.store.changes.subscribe((change) => {
        if (change.key === partKey(this.dependencies.part) && change.entry === null) this.wake.wake();
      }),
    );
    routines.add(() => this.current?.end('stopping'));
    return routines;
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.current === null && this.dependencies.store.loaded && monotonicNow() >= this.restsUntil) {
        try {
          await this.attempt(signal);
        } catch (e) {
          this.dependencies.log.warn({ error: messageOf(e) }, 'taking the part failed');
        }
      }
      await this.wake.wait(jittered(700), signal);
    }
  }

  private async attempt(signal: AbortSignal): Promise<void> {
    const key = partKey(this.dependencies.part);
    const known = this.dependencies.store.copy.get(key);
    if (known !== undefined) {
      const holder = readPart(known.value);
      // An earlier process under our own label has surely ended: there is one process per label at a time.
      if (holder.label !== this.record.label) return;
      if (holder.incarnation === this.record.incarnation) return;
    }
    const ttlMs = this.leaseMs();
    const lease = await this.dependencies.store.grantLease(ttlMs);
    if (lease === null || signal.aborted) return;
    const sent = monotonicNow();
    const result = await this.dependencies.store.commit(
      [{ key, stamp: known?.stamp ?? 0 }],
      [{ write: key, value: this.record, permit: lease }],
    );
    // Stopped meanwhile: nobody would end a term that begins now. The lease runs out by itself.
    if (isAborted(signal)) return;
    if (result.kind !== 'ok') {
      // Whatever became of it, the key must not stay with a lease that nobody renews.
      await this.dependencies.store.revokeLease(lease);
      return;
    }
    if (!(await this.dependencies.store.reached(result.rev, 5000))) {
      await this.dependencies.store.revokeLease(lease);
      return;
    }
    if (isAborted(signal)) return;
    this.begin(result.rev, sent, lease, ttlMs);
  }

  private begin(token: number, claimed: bigint, lease: number, ttlMs: number): void {
    const term = new Term(
      {
        ...this.dependencies,
        record: this.record,
        onAbdicate: () => {
          this.restsUntil = monotonicNow() + REST;
        },
        onEnd: () => {
          if (this.current === term) this.current = null;
          this.dependencies.store.followGapMs = FOLLOWER_GAP_MS;
          this.wake.wake();
        },
      },
      token,
      claimed,
      lease,
      ttlMs / 4,
    );
    this.current = term;
    this.dependencies.store.followGapMs = OWNER_GAP_MS;
    term.start();
  }

  /** Short enough for a takeover well before a worker's lease ends, long enough for a slow moment. */
  private leaseMs(): number {
    return Math.round(Math.min(5, Math.max(2.5, toSeconds(this.dependencies.facts.workerLease) / 4)) * 1000);
  }
}

/** After giving the part up, others have this long to take it. */
const REST = 15_000_000_000n;
const OWNER_GAP_MS = 100;
const FOLLOWER_GAP_MS = 250;
