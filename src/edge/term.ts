import { setMaxListeners } from 'node:events';
import { Subscription, interval } from 'rxjs';
import { Owner, type Event } from '../core/owner.js';
import type { Facts, OperatorSettings, MachineType, Report } from '../core/model.js';
import { mayAnswer, mayStart, othersQuietFrom } from '../core/ownership-timing.js';
import type { Transaction } from '../core/outbox.js';
import { isBehind, type Effect, type Order, type RentOrder } from '../core/cluster-state.js';
import {
  jobKey,
  pageKey,
  parseKey,
  partKey,
  EndedJob,
  readJob,
  summaryOf,
  writeJob,
  writePage,
  type PartRecord,
} from '../wire/records.js';
import { now, steady } from './clock.js';
import type { Cloud } from './cloud.js';
import { RateLimiter } from './rate-limiter.js';
import { WakeSignal } from './wake-signal.js';
import { isAborted, supervise, pause } from './supervised-task.js';
import type { DecodedPages } from './decoded-pages.js';
import type { ImagesSeen } from './images.js';
import { jittered } from './jitter.js';
import type { Log } from './log.js';
import type { Change, Entry, Guard, Store, Write } from './store.js';
import { Workers } from './workers.js';

/** What a term needs of the process. */
export interface TermDependencies {
  readonly part: string;
  readonly record: PartRecord;
  readonly facts: Facts;
  readonly settings: OperatorSettings;
  readonly store: Store;
  readonly cloud: Cloud;
  readonly log: Log;
  readonly writeRps: number;
  readonly images: ImagesSeen;
  readonly pages: DecodedPages;
  /** Connections straight to workers that may be open at once. */
  readonly directs: number;
  readonly onEnd: (why: string) => void;
  /** The part was given up for another controller to take. */
  readonly onAbdicate: () => void;
}

const TICK_MS = 100;
const HEARTBEAT_MS = 1000;
/** Renewals of the lease in the state service that may be without an answer at once. */
const MOST_RENEWALS = 3;
/**
 * The owner's share of the changes that the state service takes. Users' submissions and cancellations go first: what
 * they were seen to take is left free, but never so much that nothing is placed any more.
 */
const MOST_SHARE = 0.8;
const LEAST_SHARE = 0.5;
const ALL_SHARE = 0.95;

/**
 * One term as the owner of a part: the core with the sockets and timers round it. All of its routines hang on one
 * subscription, which ends with the term.
 */
export class Term {
  private readonly owner: Owner;
  private readonly routines = new Subscription();
  private readonly workers: Workers;
  private readonly commitWake = new WakeSignal();
  private readonly budget: RateLimiter;
  private rentals = 0;
  private usersChanges = 0;
  private usersRate = 0;
  private raise: string | null = null;
  private over = false;
  private imagesTold = false;
  private tickedAt = steady();
  private readonly stop = new AbortController();

  constructor(
    private readonly dependencies: TermDependencies,
    token: number,
    /** When the claim was sent that made us the owner: the first moment at which the state service surely knew us. */
    claimed: bigint,
    private readonly lease: number,
    private readonly renewMs: number,
  ) {
    // Rentals and returns under way each listen for the end of the term; there is no fixed number of them.
    setMaxListeners(0, this.stop.signal);
    const t = now();
    this.owner = new Owner(dependencies.facts, dependencies.settings, {
      token,
      began: t.steady,
      contact: claimed,
      othersQuiet: othersQuietFrom(dependencies.facts, t.steady),
    });
    this.budget = new RateLimiter(
      dependencies.writeRps * MOST_SHARE,
      Math.max(dependencies.facts.txnOps, dependencies.writeRps * 0.5),
    );
    this.workers = new Workers(
      dependencies.directs,
      () => this.owner.state.token,
      (order) =>
        mayStart(this.owner.state.contact, steady()) &&
        this.owner.state.jobs.get(order.job)?.standing === 'open',
      (result) =>
        this.event({
          kind: 'direct',
          machine: result.job.machine,
          session: result.job.session,
          token: result.token,
          orders: result.job.orders,
          outcome: result.outcome,
          report: result.report,
        }),
    );
  }

  get token(): number {
    return this.owner.state.token;
  }

  /** It is late with what workers ask. */
  get behind(): boolean {
    return isBehind(this.owner.state);
  }

  start(): void {
    const { log, store } = this.dependencies;
    this.load();
    this.routines.add(this.workers.start());
    this.routines.add(() => this.stop.abort());
    this.routines.add(store.changes.subscribe((change) => this.onChange(change)));
    this.routines.add(interval(TICK_MS).subscribe(() => this.tick()));
    this.routines.add(interval(1000).subscribe(() => this.share()));
    this.routines.add(supervise('lease', log, (signal) => this.keepLease(signal)));
    this.routines.add(supervise('heartbeat', log, (signal) => this.heartbeat(signal)));
    this.routines.add(supervise('commits', log, (signal) => this.commits(signal)));
    this.routines.add(supervise('machine list', log, (signal) => this.pollList(signal)));
    this.routines.add(supervise('machine types', log, (signal) => this.pollTypes(signal)));
  }

  /** Sets what the owner may write by what users' changes took lately. */
  private share(): void {
    this.usersRate = this.usersRate * 0.5 + this.usersChanges * 0.5;
    this.usersChanges = 0;
    const all = this.dependencies.writeRps;
    const left = all * ALL_SHARE - this.usersRate * 1.25;
    this.budget.perSecond = Math.min(all * MOST_SHARE, Math.max(all * LEAST_SHARE, left));
  }

  end(why: string): void {
    if (this.over) return;
    this.over = true;
    this.dependencies.log.info({ token: this.token, why }, 'term over');
    this.routines.unsubscribe();
    this.dependencies.onEnd(why);
  }

  private isOver(): boolean {
    return this.over;
  }

  /** The answer to a worker's report, or null if we may no longer answer. */
  report(report: Report): { token: number; orders: Order[] } | null {
    if (this.over || !mayAnswer(this.dependencies.facts, this.owner.state.contact, steady())) return null;
    this.event({ kind: 'report', report: report });
    if (this.isOver()) return null;
    return { token: this.token, orders: this.owner.answer(report, now()) };
  }

  private load(): void {
    const pages: { readonly id: number; readonly entry: Entry }[] = [];
    for (const [key, entry] of this.dependencies.store.copy) {
      const parsed = parseKey(key);
      // Of a job that has ended and of which nothing is placed there is nothing to do.
      if (parsed.kind === 'job' && !(entry.value instanceof EndedJob))
        this.event({ kind: 'job', id: parsed.id, record: readJob(entry.value), stamp: entry.stamp });
      if (parsed.kind === 'page' && parsed.part === this.dependencies.part)
        pages.push({ id: parsed.id, entry });
    }
    for (const { id, entry } of pages)
      this.event({ kind: 'page', id, entries: this.dependencies.pages.of(entry), stamp: entry.stamp });
    this.dependencies.log.info(
      { token: this.token, jobs: this.owner.state.jobs.size, pages: pages.length },
      'term begins',
    );
  }

  private tick(): void {
    const t = steady();
    const late = t - this.tickedAt - BigInt(TICK_MS) * 1_000_000n;
    this.tickedAt = t;
    this.owner.ranLate(late > 0n ? late : 0n);
    this.event({ kind: 'tick' });
  }

  private event(event: Event): void {
    if (this.over) return;
    const passed = this.owner.state.passedAt;
    const began = now();
    const effects = this.owner.handle(event, began);
    if (this.owner.state.passedAt !== passed) this.owner.passTook(steady() - began.steady);
    for (const effect of effects) this.carryOut(effect);
    if (this.owner.state.dirty.size > 0 || this.owner.state.dirtyJobs.size > 0) this.commitWake.wake();
  }

  private carryOut(effect: Effect): void {
    const { log } = this.dependencies;
    switch (effect.kind) {
      case 'note':
        log[effect.level](effect.about, effect.text);
        break;
      case 'direct': {
        const endpoint = this.owner.state.machines.get(effect.machine)?.endpoint ?? '';
        const job = { machine: effect.machine, endpoint, session: effect.session, orders: effect.orders };
        if (endpoint !== '') this.workers.push(job);
        break;
      }
      case 'rent':
        this.rent(effect.order);
        break;
      case 'return':
        this.giveBack(effect.machines, effect.why);
        break;
      case 'raise':
        this.raise = effect.why;
        this.commitWake.wake();
        break;
      case 'abdicate':
        this.end(effect.why);
        this.dependencies.onAbdicate();
        // Without its lease the key goes at once, and another controller can take the part.
        void this.dependencies.store.revokeLease(this.lease);
        break;
      case 'deposed':
        this.end(`a worker has seen the higher token ${effect.token}`);
        break;
    }
  }

  private rent(order: RentOrder): void {
    // The first token of a term is committed and belongs to this process alone: names made of it are never reused.
    const name = `r-${this.owner.state.firstToken}-${++this.rentals}`;
    this.event({ kind: 'renting', name, order });
    void this.dependencies.cloud.rent(name, order, this.stop.signal).then((machines) => {
      this.dependencies.log.info(
        { name, wanted: order.count, got: machines?.length ?? 0 },
        'rental answered',
      );
      this.event({ kind: 'rented', name, machines });
    });
  }

  private giveBack(machines: readonly string[], why: string): void {
    this.dependencies.log.info({ machines, why }, 'returning machines');
    void this.dependencies.cloud
      .remove(machines, () => mayStart(this.owner.state.contact, steady()), this.stop.signal)
      .then((ok) => this.event({ kind: 'returned', machines, ok }));
  }

  private onChange(change: Change): void {
    const key = parseKey(change.key);
    if (key.kind === 'job' && change.entry !== null) {
      if (change.entry.value instanceof EndedJob) return;
      const record = readJob(change.entry.value);
      if (record.standing !== 'done') this.usersChanges += 1;
      this.event({ kind: 'job', id: key.id, record, stamp: change.entry.stamp });
    }
    if (key.kind === 'part' && key.part === this.dependencies.part) {
      const mine =
        change.entry !== null &&
        (change.entry.value as PartRecord).incarnation === this.dependencies.record.incarnation;
      // Our own key may be followed late, but a key that is gone or another's is the end of the term.
      if (!mine && (change.entry === null || change.entry.stamp > this.owner.state.firstToken))
        this.end('the part has another owner');
    }
  }

  /**
   * Renewals are sent by the clock, not one after the other's answer: in a process that is a second behind each step
   * of the way takes that long, and a lease of three seconds ran out under an owner that had the state service.
   */
  private async keepLease(signal: AbortSignal): Promise<void> {
    let underWay = 0;
    while (!signal.aborted) {
      if (underWay < MOST_RENEWALS) {
        underWay += 1;
        void this.dependencies.store.renewLease(this.lease).then((r) => {
          underWay -= 1;
          if (r === 'ended' && !signal.aborted) this.end('the lease in the state service ended');
        });
      }
      await pause(this.renewMs, signal);
    }
  }

  /** A compare of our own stamp: proves that we are the owner, and as of when. */
  private async heartbeat(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sent = steady();
      const result = await this.dependencies.store.commit([this.guard()], [], 1000);
      if (isAborted(signal)) return;
      if (result.kind === 'ok' && (await this.dependencies.store.reached(result.rev, 1000)))
        this.event({ kind: 'contact', at: sent });
      if (result.kind === 'conflict' && !(await this.stillOwner()))
        return this.end('the part has changed hands');
      await pause(HEARTBEAT_MS, signal);
    }
  }

  /** After a conflict on our own key: our own raise may just have been carried out, or the term is over. */
  private async stillOwner(): Promise<boolean> {
    if (!(await this.dependencies.store.fresh(2000))) return true;
    const entry = this.dependencies.store.copy.get(partKey(this.dependencies.part));
    if (
      entry === undefined ||
      (entry.value as PartRecord).incarnation !== this.dependencies.record.incarnation
    )
      return false;
    if (entry.stamp > this.token) this.event({ kind: 'raised', token: entry.stamp });
    return true;
  }

  private guard(): Guard {
    return { key: partKey(this.dependencies.part), stamp: this.token };
  }

  private async commits(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.commitWake.wait(500, signal);
      if (isAborted(signal)) return;
      if (this.raise !== null) await this.raiseToken(signal);
      const transaction = this.owner.nextTransaction(now());
      if (transaction === null) continue;
      const wait = this.budget.take(transaction.pages.length + transaction.done.length);
      if (wait > 0) await pause(wait, signal);
      if (isAborted(signal)) return;
      await this.commit(transaction, signal);
      this.commitWake.wake();
    }
  }

  private async raiseToken(signal: AbortSignal): Promise<void> {
    this.dependencies.log.info({ why: this.raise }, 'raising the token');
    this.raise = null;
    const result = await this.dependencies.store.commit(
      [this.guard()],
      [{ write: partKey(this.dependencies.part), value: this.dependencies.record, permit: this.lease }],
    );
    if (isAborted(signal)) return;
    if (result.kind === 'ok') this.event({ kind: 'raised', token: result.rev });
    else if (result.kind === 'conflict' && !(await this.stillOwner())) this.end('the part has changed hands');
  }

  /** Sends a transaction until its fate is known. Its guards make repeats harmless. */
  private async commit(transaction: Transaction, signal: AbortSignal): Promise<void> {
    const { store } = this.dependencies;
    const guards: Guard[] = [{ key: partKey(this.dependencies.part), stamp: transaction.token }];
    const writes: Write[] = [];
    for (const [id, stamp] of transaction.jobs) guards.push({ key: jobKey(id), stamp });
    for (const page of transaction.pages) {
      const key = pageKey(this.dependencies.part, page.id);
      guards.push({ key, stamp: page.stamp });
      writes.push({ write: key, value: writePage(page.entries, this.dependencies.facts.zones) });
    }
    for (const id of transaction.done) {
      const job = this.owner.state.jobs.get(id);
      if (job !== undefined)
        writes.push({
          write: jobKey(id),
          value: writeJob({ spec: job.spec, submitted: job.submitted, standing: 'done' }),
        });
    }
    let doubtful = false;
    for (let n = 0; !signal.aborted; n++) {
      const result = await store.commit(guards, writes);
      if (isAborted(signal)) return;
      if (result.kind === 'ok')
        return this.event({ kind: 'settled', transaction: transaction, stamp: result.rev });
      if (result.kind === 'conflict') return this.onConflict(transaction, result, doubtful, signal);
      if (result.kind === 'unknown') doubtful = true;
      this.dependencies.log.debug({ why: result.why, n }, 'transaction not settled yet');
      await pause(jittered(Math.min(100 * 2 ** n, 1500)), signal);
    }
  }

  private async onConflict(
    transaction: Transaction,
    conflict: { readonly failed: readonly string[]; readonly rev: number },
    doubtful: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { store } = this.dependencies;
    const { failed } = conflict;
    // What the conflict means can only be read from a copy that holds it: an older one still shows the stamps that the
    // transaction was guarded by, and taking those for what it left behind would fail every later write of the page.
    while (!(await store.reached(conflict.rev, 2000))) if (isAborted(signal)) return;
    if (!(await this.stillOwner())) return this.end('the part has changed hands');
    const moved = transaction.pages.find((page) => failed.includes(pageKey(this.dependencies.part, page.id)));
    // Pages have one writer: a page that moved on was moved by an earlier copy of this very transaction.
    if (moved !== undefined) {
      const entry = store.copy.get(pageKey(this.dependencies.part, moved.id));
      if (doubtful && entry !== undefined)
        return this.event({ kind: 'settled', transaction: transaction, stamp: entry.stamp });
      return this.end('a page was written by somebody else');
    }
    if (doubtful && transaction.pages.length === 0) {
      const all = transaction.done.every((id) => {
        const entry = store.copy.get(jobKey(id));
        return entry !== undefined && summaryOf(entry.value).standing === 'done';
      });
      if (all) return this.event({ kind: 'settled', transaction: transaction, stamp: store.rev });
    }
    this.dependencies.log.info({ failed }, 'transaction refused by its guards; planned anew');
  }

  private async pollList(signal: AbortSignal): Promise<void> {
    const every = Math.max(2000, Number(this.dependencies.facts.listLag) / 1e6);
    while (!signal.aborted) {
      const sent = steady();
      const machines = await this.dependencies.cloud.list(signal);
      if (isAborted(signal)) return;
      if (machines !== null) this.event({ kind: 'list', machines, sent });
      await pause(machines === null ? jittered(1000) : every, signal);
    }
  }

  /** What this controller saw as a bystander: once, as soon as it is known how fast machines fetch. */
  private tellImages(types: readonly MachineType[]): void {
    this.imagesTold = true;
    const rates = types.map((type) => type.fetchGbPerS).filter((r) => r > 0);
    if (rates.length > 0)
      this.event({ kind: 'images', seen: this.dependencies.images.likely(Math.min(...rates)) });
  }

  private async pollTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const types = await this.dependencies.cloud.types(signal);
      if (isAborted(signal)) return;
      if (types !== null) {
        this.event({ kind: 'types', types });
        if (!this.imagesTold) this.tellImages(types);
      }
      await pause(types === null ? jittered(1000) : 60_000, signal);
    }
  }
}
