import { foresee } from './foresight.js';
import { closeSome, logRent, onRefused, rentals, returns } from './fleet.js';
import { intentsOf, machineOf, onJob, onPage } from './jobs.js';
import {
  dispatch,
  fence,
  onArrival,
  onDirect,
  onList,
  onReport,
  onReturned,
  ordersFor,
  reapSilent,
  tidyForgets,
  useImage,
  wantsHigherToken,
  freeOn,
  usable,
} from './machines.js';
import type { Facts, Intent, Job, JobRecord, Knobs, Listed, MachineType, Report } from './model.js';
import { nextTransaction, settled, type Transaction } from './outbox.js';
import type { PageEntry } from './pages.js';
import { mayStart } from './parts.js';
import { pass, passGap } from './pass.js';
import { heedNotices, isDeaf, probeDeaf, returnSilent } from './suspicion.js';
import { seconds, type Now, type Span, type Steady } from './time.js';
import { newWorld, note, type Effect, type Order, type RentOrder, type Term, type World } from './world.js';

/** What can happen to an owner. Each event is handled alone and yields what is to be done outside. */
export type Event =
  | { readonly kind: 'job'; readonly id: string; readonly record: JobRecord; readonly stamp: number }
  | {
      readonly kind: 'page';
      readonly id: number;
      readonly entries: readonly PageEntry[];
      readonly stamp: number;
    }
  | { readonly kind: 'report'; readonly report: Report }
  | {
      readonly kind: 'direct';
      readonly machine: string;
      readonly session: number;
      readonly token: number;
      readonly orders: readonly Order[];
      readonly outcome: 'executed' | 'refused' | 'unknown';
      readonly report: Report | null;
    }
  | { readonly kind: 'settled'; readonly transaction: Transaction; readonly stamp: number }
  | { readonly kind: 'contact'; readonly at: Steady }
  | { readonly kind: 'raised'; readonly token: number }
  | { readonly kind: 'types'; readonly types: readonly MachineType[] }
  /** A whole list of the cloud's, and when the first request for it was sent. */
  | { readonly kind: 'list'; readonly machines: readonly Listed[]; readonly sent: Steady }
  | { readonly kind: 'renting'; readonly name: string; readonly order: RentOrder }
  | { readonly kind: 'rented'; readonly name: string; readonly machines: readonly string[] | null }
  | { readonly kind: 'returned'; readonly machines: readonly string[]; readonly ok: boolean }
  | {
      readonly kind: 'images';
      readonly seen: readonly { readonly machine: string; readonly image: string; readonly gb: number }[];
    }
  | { readonly kind: 'tick' };

const SWEEP = seconds(0.4);

/** The owner of a part: the whole of its knowledge, and the one place where events become effects. */
export class Owner {
  readonly world: World;
  private fleetAt: Steady = 0n;
  private surveyAt: Steady = 0n;
  private sweptAt: Steady = 0n;
  private lookedAt: Steady = 0n;

  constructor(facts: Facts, knobs: Knobs, term: Term) {
    this.world = newWorld(facts, knobs, term);
  }

  handle(event: Event, now: Now): Effect[] {
    const w = this.world;
    switch (event.kind) {
      case 'job':
        onJob(w, event.id, event.record, event.stamp, now);
        break;
      case 'page':
        onPage(w, event.id, event.entries, event.stamp, now);
        break;
      case 'report':
        onReport(w, event.report, now);
        onArrival(w, event.report.machine, now);
        tidyForgets(w, event.report);
        break;
      case 'direct':
        onDirect(
          w,
          event.machine,
          event.session,
          event.token,
          event.orders,
          event.outcome,
          event.report !== null,
        );
        if (event.report !== null) onReport(w, event.report, now);
        if (event.outcome === 'refused' && event.report !== null) this.refence(event.machine);
        break;
      case 'settled': {
        settled(w, event.transaction, event.stamp);
        dispatch(w, this.affected(event.transaction), now);
        break;
      }
      case 'contact':
        if (event.at > w.contact) w.contact = event.at;
        break;
      case 'raised':
        w.token = event.token;
        w.raisedAt = now.steady;
        break;
      case 'types':
        for (const t of event.types) w.types.set(t.name, t);
        for (const m of w.machines.values()) m.view = null;
        w.needPass = true;
        break;
      case 'list':
        onList(w, event.machines, event.sent, now);
        break;
      case 'renting':
        w.renting.set(event.name, { order: event.order, since: now.steady });
        break;
      case 'rented':
        this.onRented(event.name, event.machines, now);
        break;
      case 'returned':
        if (event.ok) onReturned(w, event.machines, now);
        else for (const n of event.machines) this.unreturn(n);
        break;
      case 'images':
        // Not newer than anything a report has told since.
        for (const s of event.seen) {
          const m = machineOf(w, s.machine, now.steady);
          if (!m.images.has(s.image)) useImage(w, m, { image: s.image, imageGb: s.gb }, w.began);
        }
        break;
      case 'tick':
        this.onTick(now);
        break;
    }
    if (
      w.needPass &&
      event.kind !== 'page' &&
      now.steady - w.passedAt >= passGap(w) &&
      mayStart(w.contact, now.steady)
    )
      pass(w, now);
    const effects = w.effects;
    w.effects = [];
    return effects;
  }

  /** Tells how long an event in which a pass was made took: the core itself reads no clock. */
  passTook(span: Span): void {
    const w = this.world;
    w.passTook = (w.passTook + span) / 2n;
  }

  /** Tells how much too late a moment came for which the process had asked. */
  ranLate(span: Span): void {
    const w = this.world;
    w.lateness = (w.lateness * 3n + span) / 4n;
  }

  /** The answer to a report that was just taken in. */
  answer(report: Report, now: Now): Order[] {
    return ordersFor(this.world, report.machine, now, report);
  }

  nextTransaction(now: Now): Transaction | null {
    return nextTransaction(this.world, now.steady);
  }

  private onTick(now: Now): void {
    const w = this.world;
    if (now.steady - this.sweptAt >= SWEEP) this.sweep(now);
    const why = wantsHigherToken(w, now);
    if (why !== null) {
      w.raisedAt = now.steady;
      w.effects.push({ kind: 'raise', why });
    }
    if (now.steady - this.fleetAt > seconds(2) && mayStart(w.contact, now.steady)) {
      this.fleetAt = now.steady;
      this.runFleet(now);
    }
  }

  /** What only time changes: each of these walks all machines, so it is done a few times a second at most. */
  private sweep(now: Now): void {
    const w = this.world;
    this.sweptAt = now.steady;
    // After standing still everything looks silent: nothing is judged before a fresh word from the state service.
    if (mayStart(w.contact, now.steady)) {
      reapSilent(w, now);
      if (isDeaf(w, now)) w.effects.push({ kind: 'abdicate', why: 'hardly any worker is heard' });
      heedNotices(w, now);
      probeDeaf(w, now);
      this.giveBack(returnSilent(w, now), 'silent, with replicas on it');
    }
    this.survey(now);
    fence(w, now);
    if (now.steady - this.lookedAt >= seconds(1)) {
      // Pauses end, machines fall silent, waiting work becomes urgent: none of that is an event.
      this.lookedAt = now.steady;
      w.needPass = w.needPass || w.waiting.size > 0;
    }
  }

  private runFleet(now: Now): void {
    const w = this.world;
    const blocked = pass(w, now);
    closeSome(w, blocked, now);
    for (const order of rentals(w, blocked, now)) {
      logRent(w, order);
      w.effects.push({ kind: 'rent', order });
    }
    for (const r of returns(w, now)) this.giveBack(r.names, r.why);
  }

  private giveBack(names: readonly string[], why: string): void {
    if (names.length === 0) return;
    for (const n of names) {
      const m = this.world.machines.get(n);
      if (m !== undefined) m.returning = true;
    }
    this.world.effects.push({ kind: 'return', machines: names, why });
  }

  /** How things stand, for those who read the log. */
  private survey(now: Now): void {
    const w = this.world;
    if (now.steady - this.surveyAt < seconds(10)) return;
    this.surveyAt = now.steady;
    const count = { ordinary: 0, spot: 0, empty: 0, closed: 0, unusable: 0 };
    let free = 0;
    for (const m of w.machines.values()) {
      if (m.session === 0) continue;
      if (!usable(w, m, now.steady)) count.unusable += 1;
      else {
        count[m.spot ? 'spot' : 'ordinary'] += 1;
        if (m.intents.size === 0) count.empty += 1;
        if (m.closed) count.closed += 1;
        free += freeOn(w, m).gpus;
      }
    }
    const ahead = foresee(w, now);
    let tasks = 0;
    let longest: Job | null = null;
    for (const id of w.waiting) {
      const job = w.jobs.get(id);
      if (job === undefined) continue;
      tasks += job.free.size;
      if (longest === null || job.submitted < longest.submitted) longest = job;
    }
    note(
      w,
      'survey',
      {
        ...count,
        booting: w.booting.size,
        freeGpus: free,
        waitingJobs: w.waiting.size,
        waitingTasks: tasks,
        comes: Math.round(ahead.comes),
        ends: Math.round(ahead.ends),
        ...(longest === null ? {} : { longest: longest.spec.id, because: longest.waitReason }),
      },
      'info',
    );
  }

  private onRented(name: string, machines: readonly string[] | null, now: Now): void {
    const w = this.world;
    const pending = w.renting.get(name);
    w.renting.delete(name);
    if (pending === undefined) return;
    if (machines === null || machines.length < pending.order.count) onRefused(w, pending.order, now);
    const { type, zone, spot } = pending.order;
    for (const name of machines ?? []) {
      const m = machineOf(w, name, now.steady);
      if (m.session > 0) continue;
      Object.assign(m, { type, zone, spot, view: null });
      w.booting.set(name, { type, zone, spot, since: now.steady });
    }
  }

  private unreturn(name: string): void {
    const m = this.world.machines.get(name);
    if (m !== undefined) m.returning = false;
  }

  /** A machine that refused the token for its session has told its session: it is asked again at once. */
  private refence(machine: string): void {
    const m = this.world.machines.get(machine);
    if (m === undefined || m.fenced || m.session === 0) return;
    this.world.effects.push({ kind: 'direct', machine, session: m.session, orders: [] });
  }

  private affected(t: Transaction): Intent[] {
    const out: Intent[] = [];
    for (const id of t.jobs.keys()) {
      const job = this.world.jobs.get(id);
      if (job !== undefined && job.standing === 'open') out.push(...intentsOf(job));
    }
    return out;
  }
}
