import { Subject, type Subscription } from 'rxjs';
import { STATE_STORE_PATHS } from '../../wire/protocol.js';
import { KEY_PREFIX, isDecodable, type FinishedJobSummary } from '../../wire/records.js';
import * as schemas from '../../wire/schemas.js';
import { monotonicNow } from '../runtime/clock.js';
import { supervise, sleep } from '../runtime/supervised-task.js';
import { HttpClient } from '../net/http-client.js';
import { jittered } from '../runtime/jitter.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { CoalescedRead } from './coalesced-read.js';

/** A key that must have a stamp for a transaction to be carried out. */
export interface CompareCondition {
  readonly key: string;
  readonly modRevision: number;
}

/** One change of a transaction. */
export type WriteOperation =
  { readonly write: string; readonly value: unknown; readonly permit?: number } | { readonly delete: string };

/** What became of a transaction. */
export type CommitResult =
  | { readonly kind: 'committed'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly failedKeys: readonly string[]; readonly revision: number }
  /** Surely not carried out: too many requests, an outage, or a lost lease. */
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** A key of the state service as last seen. */
export interface ReplicaEntry {
  readonly value: unknown;
  readonly modRevision: number;
}

/** What came of reading one key. */
export type ReadResult =
  | { readonly kind: 'found'; readonly value: unknown }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unread' };

/** A key that changed in the followed copy. */
export interface KeyChange {
  readonly key: string;
  /** Null: the key is gone. */
  readonly entry: ReplicaEntry | null;
}

const REQUEST_MS = 1500;
const FOLLOW_MS = 20_000;
const BARRIER_GAP_MS = 200;

/**
 * The state service's client: a followed copy of all our keys, transactions, leases, and reads as fresh as the request for them.
 * The copy never goes back; `rev` is the revision up to which it holds every change.
 */
export class StateStore {
  readonly replica = new Map<string, ReplicaEntry>();
  readonly changes = new Subject<KeyChange>();
  revision = -1;
  /** The copy is being read anew: its keys are not of one revision. */
  reloading = true;
  /** Least pause between two follows: each costs a request. The owner of a part follows more closely. */
  watchIntervalMs = 250;
  private readonly client: HttpClient;
  private readonly watchClient: HttpClient;
  private readonly waiters: { revision: number; resolve: () => void }[] = [];
  /** When a compare was sent, last, to whose revision the copy then came: so new the copy surely was. */
  lastSyncedAt = 0n;
  private readonly barrier = new CoalescedRead<{ revision: number; sent: bigint } | null>(
    BARRIER_GAP_MS,
    async () => {
      const sent = monotonicNow();
      const result = await this.commit([], [], 1000);
      return result.kind === 'committed' ? { revision: result.revision, sent } : null;
    },
  );
  private watchAbort: AbortController | null = null;

  constructor(
    addr: string,
    private readonly logger: Logger,
  ) {
    this.client = new HttpClient(addr, 6);
    this.watchClient = new HttpClient(addr, 2);
  }

  start(): Subscription {
    return supervise('follow', this.logger, (signal) => this.watch(signal));
  }

  get loaded(): boolean {
    return this.revision >= 0;
  }

  async commit(
    guards: readonly CompareCondition[],
    writes: readonly WriteOperation[],
    limitMs = REQUEST_MS,
  ): Promise<CommitResult> {
    const outcome = await this.client.request(
      'POST',
      STATE_STORE_PATHS.commit,
      { guards: guards.map(({ key, modRevision }) => ({ key, stamp: modRevision })), writes },
      limitMs,
    );
    if (outcome.kind === 'unsent') return { kind: 'refused', reason: outcome.why };
    if (outcome.kind === 'unknown') return { kind: 'unknown', reason: outcome.why };
    if (outcome.status === 200) {
      const r = schemas.revision.safeParse(outcome.body);
      if (!r.success) return this.malformed('answer without a revision');
      return { kind: 'committed', revision: r.data.ledgerRev };
    }
    if (outcome.status === 409) {
      const r = schemas.conflict.safeParse(outcome.body);
      if (!r.success) return this.malformed('conflict without keys');
      return { kind: 'conflict', failedKeys: r.data.failed, revision: r.data.ledgerRev };
    }
    if (outcome.status === 429 || outcome.status === 503 || outcome.status === 400)
      return { kind: 'refused', reason: `status ${outcome.status}` };
    return { kind: 'unknown', reason: `status ${outcome.status}` };
  }

  private malformed(reason: string): CommitResult {
    warnRateLimited(this.logger, { why: reason }, 'the state service sent what cannot be read');
    return { kind: 'unknown', reason };
  }

  /** A key as the state service has it now, past the copy: for what was written elsewhere a moment ago. */
  async read(key: string, limitMs: number): Promise<ReadResult> {
    const outcome = await this.client.request('GET', `${STATE_STORE_PATHS.keys}/${key}`, undefined, limitMs);
    if (outcome.kind !== 'answer') return { kind: 'unread' };
    if (outcome.status === 404) return { kind: 'absent' };
    const item = schemas.stored.safeParse(outcome.body);
    if (outcome.status !== 200 || !item.success || !isDecodable(key, item.data.value))
      return { kind: 'unread' };
    return { kind: 'found', value: item.data.value };
  }

  /** A new lease, or null if none could be had. */
  async grantLease(ttlMs: number): Promise<number | null> {
    const outcome = await this.client.request('POST', STATE_STORE_PATHS.holds, { ttlMs }, REQUEST_MS);
    if (outcome.kind !== 'answer' || outcome.status !== 200) return null;
    const r = schemas.permit.safeParse(outcome.body);
    return r.success ? r.data.permit : null;
  }

  async renewLease(permit: number): Promise<'ok' | 'ended' | 'unknown'> {
    const outcome = await this.client.request(
      'POST',
      `${STATE_STORE_PATHS.holds}/${permit}/${STATE_STORE_PATHS.renew}`,
      undefined,
      REQUEST_MS,
    );
    if (outcome.kind !== 'answer') return 'unknown';
    return outcome.status === 200 ? 'ok' : outcome.status === 404 ? 'ended' : 'unknown';
  }

  async revokeLease(permit: number): Promise<void> {
    await this.client.request('DELETE', `${STATE_STORE_PATHS.holds}/${permit}`, undefined, REQUEST_MS);
  }

  /** A read that is as new as this call: true once the copy holds every change committed before it. */
  async syncReplica(limitMs: number): Promise<boolean> {
    const read = await this.barrier.request();
    if (read === null) return false;
    const ok = await this.waitForRevision(read.revision, limitMs);
    if (ok && read.sent > this.lastSyncedAt) this.lastSyncedAt = read.sent;
    this.logger.debug({ asked: read.revision, replica: this.revision, ok }, 'fresh read');
    return ok;
  }

  /** Waits until the copy has come to a revision. */
  waitForRevision(revision: number, limitMs: number): Promise<boolean> {
    if (this.revision >= revision) return Promise.resolve(true);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        const at = this.waiters.indexOf(waiter);
        if (at >= 0) this.waiters.splice(at, 1);
        // The follow has said nothing of a change that exists: it may hang on a dead connection.
        this.watchAbort?.abort();
        resolve(false);
      }, limitMs);
      const waiter = {
        revision,
        resolve: (): void => {
          clearTimeout(timer);
          resolve(true);
        },
      };
      this.waiters.push(waiter);
    });
  }

  private async watch(signal: AbortSignal): Promise<void> {
    await this.load(signal);
    let lastAt = 0n;
    while (!signal.aborted) {
      const gap = this.watchIntervalMs - Number(monotonicNow() - lastAt) / 1e6;
      if (gap > 0) await sleep(gap, signal);
      lastAt = monotonicNow();
      const stop = new AbortController();
      this.watchAbort = stop;
      const path = `${STATE_STORE_PATHS.follow}?under=${KEY_PREFIX}&from=${this.revision}&holdMs=${FOLLOW_MS}`;
      const outcome = await this.watchClient.request(
        'GET',
        path,
        undefined,
        FOLLOW_MS + 15_000,
        AbortSignal.any([signal, stop.signal]),
      );
      this.watchAbort = null;
      if (outcome.kind !== 'answer' || outcome.status !== 200) {
        if (outcome.kind === 'answer' && outcome.status === 410) await this.load(signal);
        else await sleep(jittered(300), signal);
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
    this.reloading = true;
    let from: string | null = null;
    let first: number | null = null;
    const seen = new Set<string>();
    for (;;) {
      if (signal.aborted) return;
      const query = `${STATE_STORE_PATHS.keys}?under=${KEY_PREFIX}&page=500${from === null ? '' : `&from=${from}`}`;
      const outcome = await this.client.request('GET', query, undefined, 3000);
      if (outcome.kind !== 'answer' || outcome.status !== 200) {
        await sleep(jittered(450), signal);
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
    for (const key of [...this.replica.keys()]) if (!seen.has(key)) this.remove(key);
    this.advance(first);
    this.reloading = false;
  }

  private apply(key: string, value: unknown, modRevision: number): void {
    const known = this.replica.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return;
    if (value === null || value === undefined) return this.remove(key);
    // Whoever follows the copy may rely on it: what cannot be read would end the process from within a listener.
    if (!isDecodable(key, value))
      return warnRateLimited(this.logger, { key }, 'the state service holds what cannot be read');
    const entry: ReplicaEntry = { value, modRevision };
    this.replica.set(key, entry);
    this.changes.next({ key, entry });
  }

  /** Keeps another, smaller value in memory for a key. */
  replaceWithSummary(key: string, value: FinishedJobSummary): void {
    const known = this.replica.get(key);
    if (known !== undefined) this.replica.set(key, { value, modRevision: known.modRevision });
  }

  private remove(key: string): void {
    if (this.replica.delete(key)) this.changes.next({ key, entry: null });
  }

  private advance(revision: number): void {
    if (revision > this.revision) this.revision = revision;
    for (let n = this.waiters.length - 1; n >= 0; n--) {
      const w = this.waiters[n];
      if (w !== undefined && w.revision <= this.revision) {
        this.waiters.splice(n, 1);
        w.resolve();
      }
    }
  }
}
