import { Subject, type Subscription } from 'rxjs';
import { STORE_PATHS } from '../../wire/protocol.js';
import { ROOT, isReadable, type EndedJob } from '../../wire/records.js';
import * as schemas from '../../wire/schemas.js';
import { monotonicNow } from '../runtime/clock.js';
import { supervise, pause } from '../runtime/supervised-task.js';
import { HttpClient } from '../net/http-client.js';
import { jittered } from '../runtime/jitter.js';
import { warnSparsely, type Log } from '../runtime/logger.js';
import { SharedRead } from './coalesced-read.js';

/** A key that must have a stamp for a transaction to be carried out. */
export interface Guard {
  readonly key: string;
  readonly stamp: number;
}

/** One change of a transaction. */
export type Write =
  { readonly write: string; readonly value: unknown; readonly permit?: number } | { readonly delete: string };

/** What became of a transaction. */
export type Committed =
  | { readonly kind: 'ok'; readonly rev: number }
  | { readonly kind: 'conflict'; readonly failed: readonly string[]; readonly rev: number }
  /** Surely not carried out: too many requests, an outage, or a lost lease. */
  | { readonly kind: 'refused'; readonly why: string }
  | { readonly kind: 'unknown'; readonly why: string };

/** A key of the state service as last seen. */
export interface Entry {
  readonly value: unknown;
  readonly stamp: number;
}

/** What came of reading one key. */
export type Read =
  | { readonly kind: 'found'; readonly value: unknown }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unread' };

/** A key that changed in the followed copy. */
export interface Change {
  readonly key: string;
  /** Null: the key is gone. */
  readonly entry: Entry | null;
}

const REQUEST_MS = 1500;
const FOLLOW_MS = 20_000;
const BARRIER_GAP_MS = 200;

/**
 * The state service's client: a followed copy of all our keys, transactions, leases, and reads as fresh as the request for them.
 * The copy never goes back; `rev` is the revision up to which it holds every change.
 */
export class Store {
  readonly copy = new Map<string, Entry>();
  readonly changes = new Subject<Change>();
  rev = -1;
  /** The copy is being read anew: its keys are not of one revision. */
  loading = true;
  /** Least pause between two follows: each costs a request. The owner of a part follows more closely. */
  followGapMs = 250;
  private readonly client: HttpClient;
  private readonly follower: HttpClient;
  private readonly waiters: { rev: number; resolve: () => void }[] = [];
  /** When a compare was sent, last, to whose revision the copy then came: so new the copy surely was. */
  freshAt = 0n;
  private readonly barrier = new SharedRead<{ rev: number; sent: bigint } | null>(
    BARRIER_GAP_MS,
    async () => {
      const sent = monotonicNow();
      const result = await this.commit([], [], 1000);
      return result.kind === 'ok' ? { rev: result.rev, sent } : null;
    },
  );
  private refollow: AbortController | null = null;

  constructor(
    addr: string,
    private readonly log: Log,
  ) {
    this.client = new HttpClient(addr, 6);
    this.follower = new HttpClient(addr, 2);
  }

  start(): Subscription {
    return supervise('follow', this.log, (signal) => this.follow(signal));
  }

  get loaded(): boolean {
    return this.rev >= 0;
  }

  async commit(guards: readonly Guard[], writes: readonly Write[], limitMs = REQUEST_MS): Promise<Committed> {
    const outcome = await this.client.request('POST', STORE_PATHS.commit, { guards, writes }, limitMs);
    if (outcome.kind === 'unsent') return { kind: 'refused', why: outcome.why };
    if (outcome.kind === 'unknown') return { kind: 'unknown', why: outcome.why };
    if (outcome.status === 200) {
      const r = schemas.revision.safeParse(outcome.body);
      if (!r.success) return this.unread('answer without a revision');
      return { kind: 'ok', rev: r.data.ledgerRev };
    }
    if (outcome.status === 409) {
      const r = schemas.conflict.safeParse(outcome.body);
      if (!r.success) return this.unread('conflict without keys');
      return { kind: 'conflict', failed: r.data.failed, rev: r.data.ledgerRev };
    }
    if (outcome.status === 429 || outcome.status === 503 || outcome.status === 400)
      return { kind: 'refused', why: `status ${outcome.status}` };
    return { kind: 'unknown', why: `status ${outcome.status}` };
  }

  private unread(why: string): Committed {
    warnSparsely(this.log, { why }, 'the state service sent what cannot be read');
    return { kind: 'unknown', why };
  }

  /** A key as the state service has it now, past the copy: for what was written elsewhere a moment ago. */
  async read(key: string, limitMs: number): Promise<Read> {
    const outcome = await this.client.request('GET', `${STORE_PATHS.keys}/${key}`, undefined, limitMs);
    if (outcome.kind !== 'answer') return { kind: 'unread' };
    if (outcome.status === 404) return { kind: 'absent' };
    const item = schemas.stored.safeParse(outcome.body);
    if (outcome.status !== 200 || !item.success || !isReadable(key, item.data.value))
      return { kind: 'unread' };
    return { kind: 'found', value: item.data.value };
  }

  /** A new lease, or null if none could be had. */
  async grantLease(ttlMs: number): Promise<number | null> {
    const outcome = await this.client.request('POST', STORE_PATHS.holds, { ttlMs }, REQUEST_MS);
    if (outcome.kind !== 'answer' || outcome.status !== 200) return null;
    const r = schemas.permit.safeParse(outcome.body);
    return r.success ? r.data.permit : null;
  }

  async renewLease(permit: number): Promise<'ok' | 'ended' | 'unknown'> {
    const outcome = await this.client.request(
      'POST',
      `${STORE_PATHS.holds}/${permit}/${STORE_PATHS.renew}`,
      undefined,
      REQUEST_MS,
    );
    if (outcome.kind !== 'answer') return 'unknown';
    return outcome.status === 200 ? 'ok' : outcome.status === 404 ? 'ended' : 'unknown';
  }

  async revokeLease(permit: number): Promise<void> {
    await this.client.request('DELETE', `${STORE_PATHS.holds}/${permit}`, undefined, REQUEST_MS);
  }

  /** A read that is as new as this call: true once the copy holds every change committed before it. */
  async fresh(limitMs: number): Promise<boolean> {
    const read = await this.barrier.ask();
    if (read === null) return false;
    const ok = await this.reached(read.rev, limitMs);
    if (ok && read.sent > this.freshAt) this.freshAt = read.sent;
    this.log.debug({ asked: read.rev, copy: this.rev, ok }, 'fresh read');
    return ok;
  }

  /** Waits until the copy has come to a revision. */
  reached(rev: number, limitMs: number): Promise<boolean> {
    if (this.rev >= rev) return Promise.resolve(true);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        const at = this.waiters.indexOf(waiter);
        if (at >= 0) this.waiters.splice(at, 1);
        // The follow has said nothing of a change that exists: it may hang on a dead connection.
        this.refollow?.abort();
        resolve(false);
      }, limitMs);
      const waiter = {
        rev,
        resolve: (): void => {
          clearTimeout(timer);
          resolve(true);
        },
      };
      this.waiters.push(waiter);
    });
  }

  private async follow(signal: AbortSignal): Promise<void> {
    await this.load(signal);
    let lastAt = 0n;
    while (!signal.aborted) {
      const gap = this.followGapMs - Number(monotonicNow() - lastAt) / 1e6;
      if (gap > 0) await pause(gap, signal);
      lastAt = monotonicNow();
      const stop = new AbortController();
      this.refollow = stop;
      const path = `${STORE_PATHS.follow}?under=${ROOT}&from=${this.rev}&holdMs=${FOLLOW_MS}`;
      const outcome = await this.follower.request(
        'GET',
        path,
        undefined,
        FOLLOW_MS + 15_000,
        AbortSignal.any([signal, stop.signal]),
      );
      this.refollow = null;
      if (outcome.kind !== 'answer' || outcome.status !== 200) {
        if (outcome.kind === 'answer' && outcome.status === 410) await this.load(signal);
        else await pause(jittered(300), signal);
        continue;
      }
      const r = schemas.news.safeParse(outcome.body);
      if (!r.success) throw new Error('the state service sent news that cannot be read');
      for (const n of r.data.news) {
        const key = n.write ?? n.delete;
        if (key !== undefined) this.apply(key, n.write === undefined ? null : n.value, n.stamp);
      }
      this.advance(r.data.ledgerRev);
    }
  }

  private async load(signal: AbortSignal): Promise<void> {
    this.loading = true;
    let from: string | null = null;
    let first: number | null = null;
    const seen = new Set<string>();
    for (;;) {
      if (signal.aborted) return;
      const query = `${STORE_PATHS.keys}?under=${ROOT}&page=500${from === null ? '' : `&from=${from}`}`;
      const outcome = await this.client.request('GET', query, undefined, 3000);
      if (outcome.kind !== 'answer' || outcome.status !== 200) {
        await pause(jittered(450), signal);
        continue;
      }
      const p = schemas.page.parse(outcome.body);
      // Pages are read one after the other: the copy is whole only once the news since the first is applied.
      first ??= p.ledgerRev;
      for (const i of p.items) {
        seen.add(i.key);
        this.apply(i.key, i.value, i.stamp);
        from = i.key;
      }
      if (!p.hasNext) break;
    }
    for (const key of [...this.copy.keys()]) if (!seen.has(key)) this.remove(key);
    this.advance(first);
    this.loading = false;
  }

  private apply(key: string, value: unknown, stamp: number): void {
    const known = this.copy.get(key);
    if (known !== undefined && known.stamp >= stamp) return;
    if (value === null || value === undefined) return this.remove(key);
    // Whoever follows the copy may rely on it: what cannot be read would end the process from within a listener.
    if (!isReadable(key, value))
      return warnSparsely(this.log, { key }, 'the state service holds what cannot be read');
    const entry = { value, stamp };
    this.copy.set(key, entry);
    this.changes.next({ key, entry });
  }

  /** Keeps another, smaller value in memory for a key. */
  abridge(key: string, value: EndedJob): void {
    const known = this.copy.get(key);
    if (known !== undefined) this.copy.set(key, { value, stamp: known.stamp });
  }

  private remove(key: string): void {
    if (this.copy.delete(key)) this.changes.next({ key, entry: null });
  }

  private advance(rev: number): void {
    if (rev > this.rev) this.rev = rev;
    for (let n = this.waiters.length - 1; n >= 0; n--) {
      const w = this.waiters[n];
      if (w !== undefined && w.rev <= this.rev) {
        this.waiters.splice(n, 1);
        w.resolve();
      }
    }
  }
}
