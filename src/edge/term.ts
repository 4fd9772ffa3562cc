import { setMaxListeners } from 'node:events';
import { Subscription, interval } from 'rxjs';
import { isBehind, type Effect, type Order, type RentOrder } from '../core/cluster-state.js';
import type { Report } from '../core/model.js';
import { Owner, type Event } from '../core/owner.js';
import { mayAnswer, mayStart, othersQuietFrom } from '../core/ownership-timing.js';
import { EndedJob, parseKey, readJob, zonesKey, type PartRecord } from '../wire/records.js';
import { now, steady } from './clock.js';
import { CloudPolling } from './cloud-polling.js';
import { CommitLoop } from './commit-loop.js';
import { OwnedKey } from './owned-key.js';
import { StateContact } from './state-contact.js';
import type { Change, Entry } from './store.js';
import type { TermContext, TermDependencies } from './term-context.js';
import { TermProfile, stepOf } from './term-profile.js';
import { Workers } from './workers.js';
import { ZoneKeeper } from './zone-keeper.js';

const TICK_MS = 100;

/**
 * One term as the owner of a part: the core with the sockets and timers round it. All of its routines hang on one
 * subscription, which ends with the term.
 */
export class Term {
  private readonly owner: Owner;
  private readonly routines = new Subscription();
  private readonly workers: Workers;
  private readonly commits: CommitLoop;
  private readonly contact: StateContact;
  private readonly polling: CloudPolling;
  private readonly profile: TermProfile;
  private readonly zones: ZoneKeeper;
  private rentals = 0;
  private over = false;
  private tickedAt = steady();
  private readonly stop = new AbortController();

  constructor(
    private readonly dependencies: TermDependencies,
    token: number,
    /** When the claim was sent that made us the owner: the first moment at which the state service surely knew us. */
    claimed: bigint,
    private readonly lease: number,
    renewMs: number,
  ) {
    // Rentals and returns under way each listen for the end of the term; there is no fixed number of them.
    setMaxListeners(0, this.stop.signal);
    const t = now();
    const term = {
      token,
      began: t.steady,
      contact: claimed,
      othersQuiet: othersQuietFrom(dependencies.facts, t.steady),
    };
    const zonePolicy = dependencies.newZonePolicy?.() ?? null;
    this.owner = new Owner(dependencies.facts, dependencies.settings, term, zonePolicy);
    this.profile = new TermProfile(t.steady, dependencies.log);
    const context: TermContext = {
      dependencies,
      owner: this.owner,
      lease,
      renewMs,
      event: (event) => this.event(event),
      end: (why) => this.end(why),
    };
    const key = new OwnedKey(context);
    this.commits = new CommitLoop(context, key);
    this.contact = new StateContact(context, key);
    this.polling = new CloudPolling(context);
    this.zones = new ZoneKeeper(context, key);
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
    const { store } = this.dependencies;
    this.load();
    this.routines.add(this.workers.start());
    this.routines.add(() => this.stop.abort());
    this.routines.add(store.changes.subscribe((change) => this.onChange(change)));
    this.routines.add(interval(TICK_MS).subscribe(() => this.tick()));
    this.routines.add(this.contact.start());
    this.routines.add(this.commits.start());
    this.routines.add(this.polling.start());
    if (this.owner.state.zonePolicy !== null) this.routines.add(this.zones.start());
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
    const began = now();
    const orders = this.owner.answer(report, began);
    if (this.profile.active) this.profile.add('reports', steady() - began.steady);
    return { token: this.token, orders };
  }

  private loadJob(id: string, { value, stamp }: Entry): void {
    // Of a job that has ended and of which nothing is placed only others may want to know.
    if (value instanceof EndedJob) this.event({ kind: 'ended', id, standing: value.standing });
    else this.event({ kind: 'job', id, record: readJob(value), stamp });
  }

  private load(): void {
    const pages: { readonly id: number; readonly entry: Entry }[] = [];
    for (const [key, entry] of this.dependencies.store.copy) {
      const parsed = parseKey(key);
      if (parsed.kind === 'job') this.loadJob(parsed.id, entry);
      if (parsed.kind === 'page' && parsed.part === this.dependencies.part)
        pages.push({ id: parsed.id, entry });
    }
    for (const { id, entry } of pages)
      this.event({ kind: 'page', id, entries: this.dependencies.pages.of(entry), stamp: entry.stamp });
    this.event({ kind: 'loaded' });
    const zones = this.dependencies.store.copy.get(zonesKey(this.dependencies.part));
    if (zones !== undefined) this.owner.state.zonePolicy?.restore(zones.value, now());
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
    this.profile.tellWhenOver(t);
  }

  private event(event: Event): void {
    if (this.over) return;
    const passed = this.owner.state.passedAt;
    const began = now();
    const effects = this.owner.handle(event, began);
    const hasPassed = this.owner.state.passedAt !== passed;
    if (hasPassed || this.profile.active) {
      const took = steady() - began.steady;
      if (hasPassed) this.owner.passTook(took);
      if (this.profile.active) this.profile.add(hasPassed ? 'passes' : stepOf(event), took);
    }
    for (const effect of effects) this.carryOut(effect);
    if (this.owner.state.dirty.size > 0 || this.owner.state.dirtyJobs.size > 0) this.commits.wake();
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
        this.commits.requestRaise(effect.why);
        break;
      case 'keep zones':
        this.zones.keep(effect.record);
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
      if (record.standing !== 'done') this.commits.countUsersChange();
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
}
