import { setMaxListeners } from 'node:events';
import { Subscription, interval } from 'rxjs';
import { Owner, type Event } from '../core/owner.js';
import type { Facts, Knobs, MachineType, Report } from '../core/model.js';
import { mayAnswer, mayStart, othersQuietFrom } from '../core/parts.js';
import type { Transaction } from '../core/outbox.js';
import { isBehind, type Effect, type Order, type RentOrder } from '../core/world.js';
import {
  jobKey,
  pageKey,
  parseKey,
  partKey,
  readJob,
  readPage,
  writeJob,
  writePage,
  type PartRecord,
} from '../wire/records.js';
import { now, steady } from './clock.js';
import type { Cloud } from './cloud.js';
import { Allowance, Wake, duty, messageOf, pause } from './duty.js';
import type { ImagesSeen } from './images.js';
import { jittered } from './jitter.js';
import type { Log } from './log.js';
import type { Change, Guard, Store, Write } from './store.js';
import { Workers } from './workers.js';

export interface TermParts {
  readonly part: string;
  readonly record: PartRecord;
  readonly facts: Facts;
  readonly knobs: Knobs;
  readonly store: Store;
  readonly cloud: Cloud;
  readonly log: Log;
  readonly writeRps: number;
  readonly images: ImagesSeen;
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
  private readonly core: Owner;
  private readonly routines = new Subscription();
  private readonly workers: Workers;
  private readonly commitWake = new Wake();
  private readonly budget: Allowance;
  private rentals = 0;
  private usersChanges = 0;
  private usersRate = 0;
  private raise: string | null = null;
  private over = false;
  private imagesTold = false;
  private tickedAt = steady();
  private readonly stop = new AbortController();

  constructor(
    private readonly p: TermParts,
    token: number,
    /** When the claim was sent that made us the owner: the first moment at which the state service surely knew us. */
    claimed: bigint,
    private readonly lease: number,
    private readonly renewMs: number,
  ) {
    // Rentals and returns under way each listen for the end of the term; there is no fixed number of them.
    setMaxListeners(0, this.stop.signal);
    const t = now();
    this.core = new Owner(p.facts, p.knobs, {
      token,
      began: t.steady,
      contact: claimed,
      othersQuiet: othersQuietFrom(p.facts, t.steady),
    });
    this.budget = new Allowance(p.writeRps * MOST_SHARE, Math.max(p.facts.txnOps, p.writeRps * 0.5));
    this.workers = new Workers(
      p.directs,
      () => this.core.world.token,
      (o) =>
        mayStart(this.core.world.contact, steady()) && this.core.world.jobs.get(o.job)?.standing === 'open',
      (r) =>
        this.event({
          kind: 'direct',
          machine: r.job.machine,
          session: r.job.session,
          token: r.token,
          orders: r.job.orders,
          outcome: r.outcome,
          report: r.report,
        }),
    );
  }

  get token(): number {
    return this.core.world.token;
  }

  /** It is late with what workers ask. */
  get behind(): boolean {
    return isBehind(this.core.world);
  }

  start(): void {
    const { log, store } = this.p;
    this.load();
    this.routines.add(this.workers.start());
    this.routines.add(() => this.stop.abort());
    this.routines.add(store.changes.subscribe((c) => this.onChange(c)));
    this.routines.add(interval(TICK_MS).subscribe(() => this.tick()));
    this.routines.add(interval(1000).subscribe(() => this.share()));
    this.routines.add(duty('lease', log, (s) => this.keepLease(s)));
    this.routines.add(duty('heartbeat', log, (s) => this.heartbeat(s)));
    this.routines.add(duty('commits', log, (s) => this.commits(s)));
    this.routines.add(duty('machine list', log, (s) => this.pollList(s)));
    this.routines.add(duty('machine types', log, (s) => this.pollTypes(s)));
  }

  /** Sets what the owner may write by what users' changes took lately. */
  private share(): void {
    this.usersRate = this.usersRate * 0.5 + this.usersChanges * 0.5;
    this.usersChanges = 0;
    const all = this.p.writeRps;
    const left = all * ALL_SHARE - this.usersRate * 1.25;
    this.budget.perSecond = Math.min(all * MOST_SHARE, Math.max(all * LEAST_SHARE, left));
  }

  end(why: string): void {
    if (this.over) return;
    this.over = true;
    this.p.log.info({ token: this.token, why }, 'term over');
    this.routines.unsubscribe();
    this.p.onEnd(why);
  }

  /** The answer to a worker's report, or null if we may no longer answer. */
  report(r: Report): { token: number; orders: Order[] } | null {
    if (this.over || !mayAnswer(this.p.facts, this.core.world.contact, steady())) return null;
    this.event({ kind: 'report', report: r });
    if (this.over) return null;
    return { token: this.token, orders: this.core.answer(r, now()) };
  }

  private load(): void {
    const pages: { id: number; value: unknown; stamp: number }[] = [];
    for (const [key, e] of this.p.store.copy) {
      const k = parseKey(key);
      if (k.kind === 'job') this.event({ kind: 'job', id: k.id, record: readJob(e.value), stamp: e.stamp });
      if (k.kind === 'page' && k.part === this.p.part)
        pages.push({ id: k.id, value: e.value, stamp: e.stamp });
    }
    for (const p of pages) this.event({ kind: 'page', id: p.id, entries: readPage(p.value), stamp: p.stamp });
    this.p.log.info(
      { token: this.token, jobs: this.core.world.jobs.size, pages: pages.length },
      'term begins',
    );
  }

  private tick(): void {
    const t = steady();
    const late = t - this.tickedAt - BigInt(TICK_MS) * 1_000_000n;
    this.tickedAt = t;
    this.core.ranLate(late > 0n ? late : 0n);
    this.event({ kind: 'tick' });
  }

  private event(e: Event): void {
    if (this.over) return;
    const passed = this.core.world.passedAt;
    const began = now();
    const effects = this.core.handle(e, began);
    if (this.core.world.passedAt !== passed) this.core.passTook(steady() - began.steady);
    for (const effect of effects) this.carryOut(effect);
    if (this.core.world.dirty.size > 0 || this.core.world.dirtyJobs.size > 0) this.commitWake.wake();
  }

  private carryOut(e: Effect): void {
    const { log } = this.p;
    switch (e.kind) {
      case 'note':
        log[e.level](e.about, e.text);
        break;
      case 'direct': {
        const endpoint = this.core.world.machines.get(e.machine)?.endpoint ?? '';
        const job = { machine: e.machine, endpoint, session: e.session, orders: e.orders };
        if (endpoint !== '') this.workers.push(job);
        break;
      }
      case 'rent':
        this.rent(e.order);
        break;
      case 'return':
        this.giveBack(e.machines, e.why);
        break;
      case 'raise':
        this.raise = e.why;
        this.commitWake.wake();
        break;
      case 'abdicate':
        this.end(e.why);
        this.p.onAbdicate();
        // Without its lease the key goes at once, and another controller can take the part.
        void this.p.store.revokeLease(this.lease);
        break;
      case 'deposed':
        this.end(`a worker has seen the higher token ${e.token}`);
        break;
    }
  }

  private rent(order: RentOrder): void {
    // The first token of a term is committed and belongs to this process alone: names made of it are never reused.
    const name = `r-${this.core.world.firstToken}-${++this.rentals}`;
    this.event({ kind: 'renting', name, order });
    void this.p.cloud.rent(name, order, this.stop.signal).then((machines) => {
      this.p.log.info({ name, wanted: order.count, got: machines?.length ?? 0 }, 'rental answered');
      this.event({ kind: 'rented', name, machines });
    });
  }

  private giveBack(machines: readonly string[], why: string): void {
    this.p.log.info({ machines, why }, 'returning machines');
    void this.p.cloud
      .remove(machines, () => mayStart(this.core.world.contact, steady()), this.stop.signal)
      .then((ok) => this.event({ kind: 'returned', machines, ok }));
  }

  private onChange(c: Change): void {
    const k = parseKey(c.key);
    if (k.kind === 'job' && c.entry !== null) {
      const record = readJob(c.entry.value);
      if (record.standing !== 'done') this.usersChanges += 1;
      this.event({ kind: 'job', id: k.id, record, stamp: c.entry.stamp });
    }
    if (k.kind === 'part' && k.part === this.p.part) {
      const mine =
        c.entry !== null && (c.entry.value as PartRecord).incarnation === this.p.record.incarnation;
      // Our own key may be followed late, but a key that is gone or another's is the end of the term.
      if (!mine && (c.entry === null || c.entry.stamp > this.core.world.firstToken))
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
        void this.p.store.renewLease(this.lease).then((r) => {
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
      const r = await this.p.store.commit([this.guard()], [], 1000);
      if (signal.aborted) return;
      if (r.kind === 'ok' && (await this.p.store.reached(r.rev, 1000)))
        this.event({ kind: 'contact', at: sent });
      if (r.kind === 'conflict' && !(await this.stillOwner())) return this.end('the part has changed hands');
      await pause(HEARTBEAT_MS, signal);
    }
  }

  /** After a conflict on our own key: our own raise may just have been carried out, or the term is over. */
  private async stillOwner(): Promise<boolean> {
    if (!(await this.p.store.fresh(2000))) return true;
    const e = this.p.store.copy.get(partKey(this.p.part));
    if (e === undefined || (e.value as PartRecord).incarnation !== this.p.record.incarnation) return false;
    if (e.stamp > this.token) this.event({ kind: 'raised', token: e.stamp });
    return true;
  }

  private guard(): Guard {
    return { key: partKey(this.p.part), stamp: this.token };
  }

  private async commits(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.commitWake.wait(500, signal);
      if (signal.aborted) return;
      if (this.raise !== null) await this.raiseToken(signal);
      const t = this.core.nextTransaction(now());
      if (t === null) continue;
      const wait = this.budget.take(t.pages.length + t.done.length);
      if (wait > 0) await pause(wait, signal);
      if (signal.aborted) return;
      await this.commit(t, signal);
      this.commitWake.wake();
    }
  }

  private async raiseToken(signal: AbortSignal): Promise<void> {
    this.p.log.info({ why: this.raise }, 'raising the token');
    this.raise = null;
    const r = await this.p.store.commit(
      [this.guard()],
      [{ write: partKey(this.p.part), value: this.p.record, permit: this.lease }],
    );
    if (signal.aborted) return;
    if (r.kind === 'ok') this.event({ kind: 'raised', token: r.rev });
    else if (r.kind === 'conflict' && !(await this.stillOwner())) this.end('the part has changed hands');
  }

  /** Sends a transaction until its fate is known. Its guards make repeats harmless. */
  private async commit(t: Transaction, signal: AbortSignal): Promise<void> {
    const { store } = this.p;
    const guards: Guard[] = [{ key: partKey(this.p.part), stamp: t.token }];
    const writes: Write[] = [];
    for (const [id, stamp] of t.jobs) guards.push({ key: jobKey(id), stamp });
    for (const page of t.pages) {
      const key = pageKey(this.p.part, page.id);
      guards.push({ key, stamp: page.stamp });
      writes.push({ write: key, value: writePage(page.entries, this.p.facts.zones) });
    }
    for (const id of t.done) {
      const job = this.core.world.jobs.get(id);
      if (job !== undefined)
        writes.push({
          write: jobKey(id),
          value: writeJob({ spec: job.spec, submitted: job.submitted, standing: 'done' }),
        });
    }
    let doubtful = false;
    for (let n = 0; !signal.aborted; n++) {
      const r = await store.commit(guards, writes);
      if (signal.aborted) return;
      if (r.kind === 'ok') return this.event({ kind: 'settled', transaction: t, stamp: r.rev });
      if (r.kind === 'conflict') return this.onConflict(t, r, doubtful, signal);
      if (r.kind === 'unknown') doubtful = true;
      this.p.log.debug({ why: r.why, n }, 'transaction not settled yet');
      await pause(jittered(Math.min(100 * 2 ** n, 1500)), signal);
    }
  }

  private async onConflict(
    t: Transaction,
    conflict: { readonly failed: readonly string[]; readonly rev: number },
    doubtful: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { store } = this.p;
    const { failed } = conflict;
    // What the conflict means can only be read from a copy that holds it: an older one still shows the stamps that the
    // transaction was guarded by, and taking those for what it left behind would fail every later write of the page.
    while (!(await store.reached(conflict.rev, 2000))) if (signal.aborted) return;
    if (!(await this.stillOwner())) return this.end('the part has changed hands');
    const moved = t.pages.find((c) => failed.includes(pageKey(this.p.part, c.id)));
    // Pages have one writer: a page that moved on was moved by an earlier copy of this very transaction.
    if (moved !== undefined) {
      const e = store.copy.get(pageKey(this.p.part, moved.id));
      if (doubtful && e !== undefined) return this.event({ kind: 'settled', transaction: t, stamp: e.stamp });
      return this.end('a page was written by somebody else');
    }
    if (doubtful && t.pages.length === 0) {
      const all = t.done.every((id) => {
        const e = store.copy.get(jobKey(id));
        return e !== undefined && readJob(e.value).standing === 'done';
      });
      if (all) return this.event({ kind: 'settled', transaction: t, stamp: store.rev });
    }
    this.p.log.info({ failed }, 'transaction refused by its guards; planned anew');
  }

  private async pollList(signal: AbortSignal): Promise<void> {
    const every = Math.max(2000, Number(this.p.facts.listLag) / 1e6);
    while (!signal.aborted) {
      const sent = steady();
      const machines = await this.p.cloud.list(signal);
      if (signal.aborted) return;
      if (machines !== null) this.event({ kind: 'list', machines, sent });
      await pause(machines === null ? jittered(1000) : every, signal);
    }
  }

  /** What this controller saw as a bystander: once, as soon as it is known how fast machines fetch. */
  private tellImages(types: readonly MachineType[]): void {
    this.imagesTold = true;
    const rates = types.map((t) => t.fetchGbPerS).filter((r) => r > 0);
    if (rates.length > 0) this.event({ kind: 'images', seen: this.p.images.likely(Math.min(...rates)) });
  }

  private async pollTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const types = await this.p.cloud.types(signal);
      if (signal.aborted) return;
      if (types !== null) {
        this.event({ kind: 'types', types });
        if (!this.imagesTold) this.tellImages(types);
      }
      await pause(types === null ? jittered(1000) : 60_000, signal);
    }
  }
}

export const describe = (e: unknown): string => messageOf(e);
