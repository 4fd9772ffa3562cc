/**
 * @file The replica of this cluster's keys, loaded once and kept up to date by a watch. It owns the entries and emits
 * their changes. It never goes back to an earlier revision, and it holds no value that cannot be decoded.
 */
import { Subject, type Subscription } from 'rxjs';
import type { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { isDecodable } from '../../wire/stored-value-check.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { sleep, supervise } from '../runtime/supervised-task.js';
import type { KeyChange, ReplicaEntry, ReplicaView } from './replica-view.js';
import { RevisionWaiters } from './revision-waiters.js';
import type { StateStoreClient } from './state-store-client.js';

const WATCH_INTERVAL_MS = 250;
const WATCH_RETRY_DELAY_MS = 300;
const LOAD_RETRY_DELAY_MS = 450;
const NOT_LOADED = -1;

/** A replica of this cluster's keys that follows the revisions of the state store. */
export class WatchedReplica implements ReplicaView {
  readonly replica = new Map<string, ReplicaEntry>();
  readonly changes = new Subject<KeyChange>();
  reloading = true;
  /** The minimum time between two watch requests, because each counts against the state store's request limit. */
  watchIntervalMs = WATCH_INTERVAL_MS;
  /** The revision up to which the replica holds every change. */
  private currentRevision = NOT_LOADED;
  private readonly waiters = new RevisionWaiters();
  /** Aborts the watch request in flight; null if there is none. */
  private watchAbort: AbortController | null = null;

  constructor(
    private readonly client: Pick<StateStoreClient, 'listKeys' | 'watch'>,
    private readonly logger: Logger,
  ) {}

  /** The revision up to which the replica holds every change; negative if it was never loaded. */
  get revision(): number {
    return this.currentRevision;
  }

  /** True if the replica was ever completely loaded. */
  get loaded(): boolean {
    return this.currentRevision > NOT_LOADED;
  }

  /** Loads the replica and keeps it up to date until unsubscribed. */
  start(): Subscription {
    return supervise('watch', this.logger, (signal) => this.watch(signal));
  }

  /** Waits until the replica holds every change up to a revision; resolves to false after the timeout. */
  waitForRevision(revision: number, timeoutMs: number): Promise<boolean> {
    if (this.currentRevision >= revision) return Promise.resolve(true);
    // On timeout, the watch has not delivered a change that exists. It may be stuck on a dead connection, so it is
    // aborted.
    return this.waiters.wait(revision, timeoutMs, () => this.watchAbort?.abort());
  }

  replaceWithSummary(key: string, summary: FinishedJobSummary): void {
    const existing = this.replica.get(key);
    if (existing !== undefined) this.replica.set(key, { value: summary, modRevision: existing.modRevision });
  }

  private async watch(signal: AbortSignal): Promise<void> {
    await this.load(signal);
    let lastSentAt = 0n;
    while (!signal.aborted) {
      const pauseMs = this.watchIntervalMs - millisecondsSince(lastSentAt);
      if (pauseMs > 0) await sleep(pauseMs, signal);
      lastSentAt = monotonicNow();
      await this.watchOnce(signal);
    }
  }

  private async watchOnce(signal: AbortSignal): Promise<void> {
    const abort = new AbortController();
    this.watchAbort = abort;
    const result = await this.client.watch(this.currentRevision, AbortSignal.any([signal, abort.signal]));
    this.watchAbort = null;
    if (result.kind === 'compacted') return this.load(signal);
    if (result.kind === 'unavailable') return sleep(jittered(WATCH_RETRY_DELAY_MS), signal);
    const { events, revision } = result.batch;
    for (const { key, value, modRevision } of events) this.apply(key, value, modRevision);
    this.advance(revision);
  }

  private async load(signal: AbortSignal): Promise<void> {
    this.reloading = true;
    let after: string | null = null;
    let firstRevision: number | null = null;
    const loadedKeys = new Set<string>();
    for (;;) {
      if (signal.aborted) return;
      const page = await this.client.listKeys(after);
      if (page === null) {
        await sleep(jittered(LOAD_RETRY_DELAY_MS), signal);
        continue;
      }
      // Pages are read one after the other, so they are consistent only once the changes since the first page are
      // applied.
      firstRevision ??= page.revision;
      for (const { key, value, modRevision } of page.items) {
        loadedKeys.add(key);
        this.apply(key, value, modRevision);
        after = key;
      }
      if (!page.hasMore) break;
    }
    for (const key of [...this.replica.keys()]) if (!loadedKeys.has(key)) this.remove(key);
    this.advance(firstRevision);
    this.reloading = false;
  }

  private apply(key: string, value: unknown, modRevision: number): void {
    const existing = this.replica.get(key);
    if (existing !== undefined && existing.modRevision >= modRevision) return;
    if (value === null || value === undefined) return this.remove(key);
    // Listeners rely on decodable values: an error thrown by a listener would end the process.
    if (!isDecodable(key, value))
      return warnRateLimited(this.logger, { key }, 'malformed value in the state store');
    const entry: ReplicaEntry = { value, modRevision };
    this.replica.set(key, entry);
    this.changes.next({ key, entry });
  }

  private remove(key: string): void {
    if (this.replica.delete(key)) this.changes.next({ key, entry: null });
  }

  private advance(revision: number): void {
    if (revision > this.currentRevision) this.currentRevision = revision;
    this.waiters.resolveUpTo(this.currentRevision);
  }
}
