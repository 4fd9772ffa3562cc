import { forecastDemand } from './demand-forecast.js';
import { onJobEnded, reportMissedDeadlines } from './dependencies.js';
import { releaseClosedJobs } from './closed-jobs.js';
import { closeSome, returns } from './fleet-size.js';
import { logRent, onRefused, rentals } from './rentals.js';
import { intentsOf } from './intents.js';
import { machineOf } from './machine-registry.js';
import { onJob, onPage } from './loading.js';
import { dispatch, onDirect, ordersFor, tidyForgets } from './orders.js';
import { fence, wantsHigherToken } from './fencing.js';
import { onArrival, onReport } from './reports.js';
import { onList, onReturned } from './machine-list.js';
import { reapSilent } from './leases.js';
import { useImage } from './image-cache.js';
import { freeOn, isUsable } from './capacity.js';
import type {
  Facts,
  Intent,
  Job,
  JobRecord,
  OperatorSettings,
  Listed,
  MachineType,
  Report,
} from './model.js';
import { nextTransaction, settled, type Transaction } from './outbox.js';
import { splitOversizedPages, type PageEntry } from './record-pages.js';
import { mayStart } from './ownership-timing.js';
import { placementPass, placementPassGap } from './placement-pass.js';
import { actOnNotices, isDeaf, probeDeaf, returnSilent } from './failure-detector.js';
import { seconds, type Now, type Span, type Steady } from './time.js';
import type { ZonePolicy } from './zone-policy.js';
import { displacedReplicas, watchZones } from './zones.js';
import {
  newClusterState,
  emitLog,
  type Effect,
  type Order,
  type RentOrder,
  type Term,
  type ClusterState,
  isBehind,
} from './cluster-state.js';

/** What can happen to an owner. Each event is handled alone and yields what is to be done outside. */
export type Event =
  | { readonly kind: 'job'; readonly id: string; readonly record: JobRecord; readonly stamp: number }
  /** A job that had ended before the term, and of which nothing is placed. */
  | { readonly kind: 'ended'; readonly id: string; readonly standing: 'done' | 'cancelled' }
  | {
      readonly kind: 'page';
      readonly id: number;
      readonly entries: readonly PageEntry[];
      readonly stamp: number;
    }
  /** All that was recorded before the term has been told. */
  | { readonly kind: 'loaded' }
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
/** Renting and returning come last while the process is behind, but they come. */
const FLEET_EVERY = seconds(2);
const FLEET_BEHIND = seconds(6);

/** The owner of a part: the whole of its knowledge, and the one place where events become effects. */
export class Owner {
  readonly state: ClusterState;
  private fleetAt: Steady = 0n;
  private surveyAt: Steady = 0n;
  private sweptAt: Steady = 0n;
  private lookedAt: Steady = 0n;

  constructor(facts: Facts, settings: OperatorSettings, term: Term, zonePolicy: ZonePolicy | null = null) {
    this.state = newClusterState(facts, settings, term, zonePolicy);
  }

  handle(event: Event, now: Now): Effect[] {
    const state = this.state;
    switch (event.kind) {
      case 'job':
        onJob(state, event.id, event.record, event.stamp, now);
        break;
      case 'ended':
        onJobEnded(state, event.id, event.standing, now);
        break;
      case 'page':
        onPage(state, event.id, event.entries, event.stamp, now);
        break;
      case 'loaded':
        splitOversizedPages(state, now.steady);
        break;
      case 'report':
        onReport(state, event.report, now);
        onArrival(state, event.report.machine, now);
        tidyForgets(state, event.report);
        break;
      case 'direct':
        onDirect(
          state,
          event.machine,
          event.session,
          event.token,
          event.orders,
          event.outcome,
          event.report !== null,
        );
        if (event.report !== null) onReport(state, event.report, now);
        if (event.outcome === 'refused' && event.report !== null) this.refence(event.machine);
        break;
      case 'settled': {
        settled(state, event.transaction, event.stamp, now);
        dispatch(state, this.affected(event.transaction), now);
        break;
      }
      case 'contact':
        if (event.at > state.contact) state.contact = event.at;
        break;
      case 'raised':
        state.token = event.token;
        state.raisedAt = now.steady;
        break;
      case 'types':
        for (const type of event.types) state.types.set(type.name, type);
        for (const machine of state.machines.values()) machine.view = null;
        state.needPass = true;
        break;
      case 'list':
        onList(state, event.machines, event.sent, now);
        break;
      case 'renting':
        state.renting.set(event.name, { order: event.order, since: now.steady });
        break;
      case 'rented':
        this.onRented(event.name, event.machines, now);
        break;
      case 'returned':
        if (event.ok) onReturned(state, event.machines, now);
        else for (const n of event.machines) this.unreturn(n);
        break;
      case 'images':
        // Not newer than anything a report has told since.
        for (const s of event.seen) {
          const machine = machineOf(state, s.machine, now.steady);
          if (!machine.images.has(s.image))
            useImage(state, machine, { image: s.image, imageGb: s.gb }, state.began);
        }
        break;
      case 'tick':
        this.onTick(now);
        break;
    }
    if (
      state.needPass &&
      event.kind !== 'page' &&
      now.steady - state.passedAt >= placementPassGap(state) &&
      mayStart(state.contact, now.steady)
    )
      placementPass(state, now);
    const effects = state.effects;
    state.effects = [];
    return effects;
  }

  /** Tells how long an event in which a pass was made took: the core itself reads no clock. */
  passTook(span: Span): void {
    const state = this.state;
    state.passTook = (state.passTook + span) / 2n;
  }

  /** Tells how much too late a moment came for which the process had asked. */
  ranLate(span: Span): void {
    const state = this.state;
    state.lateness = (state.lateness * 3n + span) / 4n;
  }

  /** The answer to a report that was just taken in. */
  answer(report: Report, now: Now): Order[] {
    return ordersFor(this.state, report.machine, now, report);
  }

  nextTransaction(now: Now): Transaction | null {
    return nextTransaction(this.state, now.steady);
  }

  private onTick(now: Now): void {
    const state = this.state;
    if (now.steady - this.sweptAt >= SWEEP) this.sweep(now);
    const why = wantsHigherToken(state, now);
    if (why !== null) {
      state.raisedAt = now.steady;
      state.effects.push({ kind: 'raise', why });
    }
    if (
      now.steady - this.fleetAt > (isBehind(state) ? FLEET_BEHIND : FLEET_EVERY) &&
      mayStart(state.contact, now.steady)
    ) {
      this.fleetAt = now.steady;
      this.runFleet(now);
    }
  }

  /** What only time changes: each of these walks all machines, so it is done a few times a second at most. */
  private sweep(now: Now): void {
    const state = this.state;
    this.sweptAt = now.steady;
    // After standing still everything looks silent: nothing is judged before a fresh word from the state service.
    if (mayStart(state.contact, now.steady)) {
      reapSilent(state, now);
      if (isDeaf(state, now)) state.effects.push({ kind: 'abdicate', why: 'hardly any worker is heard' });
      actOnNotices(state, now);
      probeDeaf(state, now);
      this.giveBack(returnSilent(state, now), 'silent, with replicas on it');
    }
    this.survey(now);
    fence(state, now);
    if (now.steady - this.lookedAt >= seconds(1)) {
      // Pauses end, machines fall silent, waiting work becomes urgent: none of that is an event.
      this.lookedAt = now.steady;
      state.needPass = state.needPass || state.waiting.size > 0;
      releaseClosedJobs(state, now.steady);
      reportMissedDeadlines(state, now);
      watchZones(state, now);
    }
  }

  private runFleet(now: Now): void {
    const state = this.state;
    const blocked = placementPass(state, now);
    closeSome(state, blocked, now);
    for (const order of rentals(state, [...displacedJobs(state, now), ...blocked], now)) {
      logRent(state, order);
      state.effects.push({ kind: 'rent', order });
    }
    for (const r of returns(state, now)) this.giveBack(r.names, r.why);
  }

  private giveBack(names: readonly string[], why: string): void {
    if (names.length === 0) return;
    for (const n of names) {
      const machine = this.state.machines.get(n);
      if (machine !== undefined) machine.returning = true;
    }
    this.state.effects.push({ kind: 'return', machines: names, why });
  }

  /** How things stand, for those who read the log. */
  private survey(now: Now): void {
    const state = this.state;
    if (now.steady - this.surveyAt < seconds(10)) return;
    this.surveyAt = now.steady;
    const count = { ordinary: 0, spot: 0, empty: 0, closed: 0, unusable: 0 };
    let free = 0;
    for (const machine of state.machines.values()) {
      if (machine.session === 0) continue;
      if (!isUsable(state, machine, now.steady)) count.unusable += 1;
      else {
        count[machine.spot ? 'spot' : 'ordinary'] += 1;
        if (machine.intents.size === 0) count.empty += 1;
        if (machine.closed) count.closed += 1;
        free += freeOn(state, machine).gpus;
      }
    }
    const ahead = forecastDemand(state, now);
    let tasks = 0;
    let longest: Job | null = null;
    for (const id of state.waiting) {
      const job = state.jobs.get(id);
      if (job === undefined) continue;
      tasks += job.free.size;
      if (longest === null || job.submitted < longest.submitted) longest = job;
    }
    emitLog(
      state,
      'survey',
      {
        ...count,
        booting: state.booting.size,
        freeGpus: free,
        waitingJobs: state.waiting.size,
        waitingTasks: tasks,
        comes: Math.round(ahead.comes),
        ends: Math.round(ahead.ends),
        ...(longest === null ? {} : { longest: longest.spec.id, because: longest.waitReason }),
      },
      'info',
    );
  }

  private onRented(name: string, machines: readonly string[] | null, now: Now): void {
    const state = this.state;
    const pending = state.renting.get(name);
    state.renting.delete(name);
    if (pending === undefined) return;
    if (machines === null || machines.length < pending.order.count) onRefused(state, pending.order, now);
    const { type, zone, spot } = pending.order;
    for (const name of machines ?? []) {
      const machine = machineOf(state, name, now.steady);
      if (machine.session > 0) continue;
      Object.assign(machine, { type, zone, spot, view: null });
      state.booting.set(name, { type, zone, spot, since: now.steady });
    }
  }

  private unreturn(name: string): void {
    const machine = this.state.machines.get(name);
    if (machine !== undefined) machine.returning = false;
  }

  /** A machine that refused the token for its session has told its session: it is asked again at once. */
  private refence(machine: string): void {
    const m = this.state.machines.get(machine);
    if (m === undefined || m.fenced || m.session === 0) return;
    this.state.effects.push({ kind: 'direct', machine, session: m.session, orders: [] });
  }

  private affected(transaction: Transaction): Intent[] {
    const out: Intent[] = [];
    for (const id of transaction.jobs.keys()) {
      const job = this.state.jobs.get(id);
      if (job !== undefined && job.standing === 'open') out.push(...intentsOf(job));
    }
    return out;
  }
}

/** Replicas that may have to start elsewhere, as work that lacks room: machines for them are rented before it is certain. */
const displacedJobs = (state: ClusterState, now: Now): Job[] =>
  displacedReplicas(state, now).map(({ job, tasks }) => ({ ...job, free: new Set(tasks) }));
