import type { Subscription } from 'rxjs';
import type { Facts, OperatorSettings } from '../core/model.js';
import { toSeconds } from '../core/time.js';
import { partKey, readPart, type PartRecord } from '../wire/records.js';
import { steady } from './clock.js';
import type { Cloud } from './cloud.js';
import { WakeSignal } from './wake-signal.js';
import { isAborted, supervise, messageOf } from './supervised-task.js';
import type { DecodedPages } from './decoded-pages.js';
import type { ImagesSeen } from './images.js';
import { jittered } from './jitter.js';
import type { Log } from './log.js';
import type { Store } from './store.js';
import { Term } from './term.js';

/** Takes a part when it is free, and says who has it. */
export class Ownership {
  private current: Term | null = null;
  private readonly wake = new WakeSignal();
  private restsUntil = 0n;
  private readonly record: PartRecord;

  constructor(
    private readonly part: string,
    label: string,
    incarnation: string,
    private readonly facts: Facts,
    private readonly settings: OperatorSettings,
    private readonly store: Store,
    private readonly cloud: Cloud,
    private readonly log: Log,
    private readonly writeRps: number,
    private readonly nextWriteRps: number,
    private readonly images: ImagesSeen,
    private readonly pages: DecodedPages,
    private readonly directs: number,
  ) {
    this.record = { label, incarnation };
  }

  get term(): Term | null {
    return this.current;
  }

  /** The label of the part's present owner, as far as the followed copy knows. */
  ownerLabel(): string | null {
    const entry = this.store.copy.get(partKey(this.part));
    return entry === undefined ? null : readPart(entry.value).label;
  }

  start(): Subscription {
    const routines = supervise('ownership', this.log, (signal) => this.run(signal));
    routines.add(
      this.store.changes.subscribe((change) => {
        if (change.key === partKey(this.part) && change.entry === null) this.wake.wake();
      }),
    );
    routines.add(() => this.current?.end('stopping'));
    return routines;
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.current === null && this.store.loaded && steady() >= this.restsUntil) {
        try {
          await this.attempt(signal);
        } catch (e) {
          this.log.warn({ error: messageOf(e) }, 'taking the part failed');
        }
      }
      await this.wake.wait(jittered(700), signal);
    }
  }

  private async attempt(signal: AbortSignal): Promise<void> {
    const key = partKey(this.part);
    const known = this.store.copy.get(key);
    if (known !== undefined) {
      const holder = readPart(known.value);
      // An earlier process under our own label has surely ended: there is one process per label at a time.
      if (holder.label !== this.record.label) return;
      if (holder.incarnation === this.record.incarnation) return;
    }
    const ttlMs = this.leaseMs();
    const lease = await this.store.grantLease(ttlMs);
    if (lease === null || signal.aborted) return;
    const sent = steady();
    const result = await this.store.commit(
      [{ key, stamp: known?.stamp ?? 0 }],
      [{ write: key, value: this.record, permit: lease }],
    );
    // Stopped meanwhile: nobody would end a term that begins now. The lease runs out by itself.
    if (isAborted(signal)) return;
    if (result.kind !== 'ok') {
      // Whatever became of it, the key must not stay with a lease that nobody renews.
      await this.store.revokeLease(lease);
      return;
    }
    if (!(await this.store.reached(result.rev, 5000))) {
      await this.store.revokeLease(lease);
      return;
    }
    if (isAborted(signal)) return;
    this.begin(result.rev, sent, lease, ttlMs);
  }

  private begin(token: number, claimed: bigint, lease: number, ttlMs: number): void {
    const term = new Term(
      {
        part: this.part,
        record: this.record,
        facts: this.facts,
        settings: this.settings,
        store: this.store,
        cloud: this.cloud,
        log: this.log,
        writeRps: this.writeRps,
        nextWriteRps: this.nextWriteRps,
        images: this.images,
        pages: this.pages,
        directs: this.directs,
        onAbdicate: () => {
          this.restsUntil = steady() + REST;
        },
        onEnd: () => {
          if (this.current === term) this.current = null;
          this.store.followGapMs = FOLLOWER_GAP_MS;
          this.wake.wake();
        },
      },
      token,
      claimed,
      lease,
      ttlMs / 4,
    );
    this.current = term;
    this.store.followGapMs = OWNER_GAP_MS;
    term.start();
  }

  /** Short enough for a takeover well before a worker's lease ends, long enough for a slow moment. */
  private leaseMs(): number {
    return Math.round(Math.min(5, Math.max(2.5, toSeconds(this.facts.lease) / 4)) * 1000);
  }
}

/** After giving the part up, others have this long to take it. */
const REST = 15_000_000_000n;
const OWNER_GAP_MS = 100;
const FOLLOWER_GAP_MS = 250;
