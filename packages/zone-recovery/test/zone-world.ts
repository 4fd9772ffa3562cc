import type { Effect, Order } from '../../../src/core/cluster-state.js';
import type { Facts, JobRecord, MachineType, Report, SeenTask, Spec } from '../../../src/core/model.js';
import { Owner, type Event } from '../../../src/core/owner.js';
import { othersQuietFrom } from '../../../src/core/ownership-timing.js';
import type { PageEntry } from '../../../src/core/record-pages.js';
import { seconds, toSeconds, type Now } from '../../../src/core/time.js';
import { DEFAULT_SETTINGS } from '../../../src/edge/operator-settings.js';
import { FACTS, TYPE, spec } from '../../../test/player.js';
import { ZoneRecovery } from '../src/index.js';

/** The zones of the simulated deployment. */
export const ZONES = ['east', 'north', 'west'] as const;

const STEP_S = 0.25;
const BOOT_S = 10;
const WORLD_TYPE: MachineType = { ...TYPE, zones: [...ZONES], boot: seconds(BOOT_S), fetchGbPerS: 0.5 };
const WORLD_FACTS: Facts = { ...FACTS, zones: [...ZONES] };

/** What machines did, as they saw it: a checker judges by this alone. */
export type Entry =
  | { readonly kind: 'start'; readonly at: number; readonly task: string; readonly machine: string }
  /** `done`: with its result; else it was stopped or lost. */
  | {
      readonly kind: 'end';
      readonly at: number;
      readonly task: string;
      readonly machine: string;
      readonly done: boolean;
    }
  /** A command stopped a task that ran. */
  | { readonly kind: 'stopped'; readonly at: number; readonly task: string; readonly machine: string }
  | { readonly kind: 'lease over' | 'cut' | 'back'; readonly at: number; readonly machine: string }
  | { readonly kind: 'fetch'; readonly at: number; readonly machine: string };

interface Held extends SeenTask {
  readonly ready: number;
  readonly ends: number;
}

/** A machine with its worker. */
class SimulatedMachine {
  session = 1;
  seq = 0;
  token = 0;
  reachable = true;
  /** When the last report that was answered was sent. */
  renewed: number;
  held: Held[] = [];
  readonly images = new Set<string>();

  constructor(
    readonly name: string,
    readonly zone: string,
    /** Up from then on. */
    readonly up: number,
  ) {
    this.renewed = up;
  }

  report(): Report {
    this.seq += 1;
    return {
      ...{
        machine: this.name,
        endpoint: `${this.name}:1`,
        type: WORLD_TYPE.name,
        zone: this.zone,
        spot: false,
      },
      ...{ session: this.session, seq: this.seq, token: this.token, notice: null },
      tasks: this.held.map(({ job, task, attempt, state, why, saved }) => ({
        job,
        task,
        attempt,
        state,
        why,
        saved,
      })),
    };
  }
}

/** An owner's core, machines in three zones, a state service and a cloud, in simulated time. */
export class ZoneWorld {
  at = 0;
  readonly record: Entry[] = [];
  private owner: Owner;
  private machines: SimulatedMachine[] = [];
  private readonly jobs = new Map<string, { record: JobRecord; stamp: number }>();
  private readonly pages = new Map<number, { entries: readonly PageEntry[]; stamp: number }>();
  private readonly later: { readonly due: number; readonly run: () => void }[] = [];
  private kept: unknown = null;
  private stamp = 100;
  private made = 0;

  constructor(
    machinesPerZone: number,
    private readonly withRecovery: boolean,
    private random: () => number,
  ) {
    this.owner = this.takeOver();
    for (const zone of ZONES) for (let n = 0; n < machinesPerZone; n++) this.addMachine(zone, 0);
  }

  /** A new owner reads what is kept and goes on. */
  takeOver(): Owner {
    const began = this.now().steady;
    const policy = this.withRecovery
      ? new ZoneRecovery({ lease: WORLD_FACTS.lease, report: WORLD_FACTS.report })
      : null;
    this.stamp += 1;
    const term = {
      token: this.stamp,
      began,
      contact: began,
      othersQuiet: othersQuietFrom(WORLD_FACTS, began),
    };
    this.owner = new Owner(WORLD_FACTS, DEFAULT_SETTINGS, term, policy);
    this.event({ kind: 'types', types: [WORLD_TYPE] });
    this.event({ kind: 'list', machines: [], sent: began });
    for (const [id, job] of this.jobs) this.event({ kind: 'job', id, ...job });
    for (const [id, page] of this.pages) this.event({ kind: 'page', id, ...page });
    this.event({ kind: 'loaded' });
    policy?.restore(this.kept, this.now());
    return this.owner;
  }

  submit(id: string, over: Partial<Spec>): void {
    const record: JobRecord = { spec: spec(id, over), submitted: this.now().wall, standing: 'open' };
    this.stamp += 1;
    this.jobs.set(id, { record, stamp: this.stamp });
    this.event({ kind: 'job', id, record, stamp: this.stamp });
  }

  /** The zone's machines reach nobody and are reached by nobody. */
  cut(zone: string): void {
    for (const machine of this.in(zone)) this.setReachable(machine, false);
  }

  /** The cut is over; `count`: so many of its machines come back, the others are gone for good. */
  heal(zone: string, count = Infinity): void {
    this.in(zone).forEach((machine, n) => {
      if (n < count) this.setReachable(machine, true);
    });
  }

  /** Lets time pass; `each` is called every second. */
  run(forS: number, each: () => void = () => undefined): void {
    const end = this.at + forS;
    while (this.at < end) {
      this.step();
      if (Number.isInteger(this.at)) each();
    }
  }

  /** Tasks of a job that run now. */
  running(job: string): number {
    return this.machines.reduce(
      (sum, machine) =>
        sum + machine.held.filter((each) => each.job === job && each.state === 'running').length,
      0,
    );
  }

  private now(): Now {
    return { steady: seconds(1000 + this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  private in(zone: string): SimulatedMachine[] {
    return this.machines.filter((machine) => machine.zone === zone);
  }

  private addMachine(zone: string, up: number): string {
    this.made += 1;
    const machine = new SimulatedMachine(`n-${String(this.made).padStart(6, '0')}`, zone, up);
    this.machines.push(machine);
    return machine.name;
  }

  private setReachable(machine: SimulatedMachine, reachable: boolean): void {
    machine.reachable = reachable;
    this.record.push({ kind: reachable ? 'back' : 'cut', at: this.at, machine: machine.name });
  }

  private step(): void {
    this.at = Math.round((this.at + STEP_S) * 100) / 100;
    for (const due of this.later.filter((each) => each.due <= this.at)) {
      this.later.splice(this.later.indexOf(due), 1);
      due.run();
    }
    for (const machine of this.machines) if (this.at >= machine.up) this.stepMachine(machine);
    this.event({ kind: 'contact', at: this.now().steady });
    this.event({ kind: 'tick' });
    this.commit();
  }

  private stepMachine(machine: SimulatedMachine): void {
    this.progress(machine);
    if (this.at - machine.renewed > toSeconds(WORLD_FACTS.lease)) this.endLease(machine);
    // Not all at the same moment.
    const due = Math.round(this.at / STEP_S + machine.name.charCodeAt(machine.name.length - 1)) % 4 === 0;
    if (!machine.reachable || !due) return;
    const report = machine.report();
    this.event({ kind: 'report', report });
    const orders = this.owner.answer(report, this.now());
    machine.token = Math.max(machine.token, this.owner.state.token);
    machine.renewed = this.at;
    this.carryOut(machine, orders);
  }

  private progress(machine: SimulatedMachine): void {
    machine.held = machine.held.map((each): Held => {
      if (each.state === 'fetching' && each.ready <= this.at) {
        const name = `${each.job}/${each.task}`;
        machine.images.add(this.specOf(each.job).image);
        this.record.push({ kind: 'start', at: this.at, task: name, machine: machine.name });
        return { ...each, state: 'running' };
      }
      if (each.state === 'running' && each.ends <= this.at) {
        this.noteEnd(machine, each, true);
        return { ...each, state: 'exited', why: 'done' };
      }
      return each;
    });
  }

  private endLease(machine: SimulatedMachine): void {
    for (const each of machine.held) if (each.state === 'running') this.noteEnd(machine, each);
    if (machine.held.length > 0) this.record.push({ kind: 'lease over', at: this.at, machine: machine.name });
    machine.held = [];
    machine.session += 1;
    machine.seq = 0;
    machine.renewed = this.at;
  }

  private noteEnd(machine: SimulatedMachine, task: SeenTask, done = false): void {
    const name = `${task.job}/${task.task}`;
    this.record.push({ kind: 'end', at: this.at, task: name, machine: machine.name, done });
  }

  private specOf(job: string): Spec {
    const known = this.jobs.get(job);
    if (known === undefined) throw new Error(`no job ${job}`);
    return known.record.spec;
  }

  private carryOut(machine: SimulatedMachine, orders: readonly Order[]): void {
    for (const order of orders) {
      const at = machine.held.findIndex(
        (each) => each.job === order.job && each.task === order.task && each.attempt === order.attempt,
      );
      const held = machine.held[at];
      if (order.op === 'start' && held === undefined) this.startTask(machine, order);
      if (order.op === 'forget' && held !== undefined) machine.held.splice(at, 1);
      if (order.op !== 'stop' || held === undefined || held.state === 'exited') continue;
      if (held.state === 'running') {
        const task = `${order.job}/${order.task}`;
        this.record.push({ kind: 'stopped', at: this.at, task, machine: machine.name });
        this.noteEnd(machine, held);
      }
      machine.held[at] = { ...held, state: 'exited', why: 'stopped' };
    }
  }

  private startTask(machine: SimulatedMachine, order: Order): void {
    const { kind, image, imageGb, estimate } = this.specOf(order.job);
    const cached = machine.images.has(image);
    if (!cached) this.record.push({ kind: 'fetch', at: this.at, machine: machine.name });
    const ready = this.at + (cached ? 0 : imageGb / WORLD_TYPE.fetchGbPerS) * (0.8 + 0.4 * this.random());
    const runs = kind === 'service' ? Infinity : toSeconds(estimate) * (0.7 + 0.6 * this.random());
    const { job, task, attempt } = order;
    machine.held.push({
      job,
      task,
      attempt,
      state: 'fetching',
      why: null,
      saved: false,
      ready,
      ends: ready + runs,
    });
  }

  private event(event: Event): void {
    for (const effect of this.owner.handle(event, this.now())) this.effect(effect);
  }

  private effect(effect: Effect): void {
    if (effect.kind === 'keep zones') this.kept = JSON.parse(JSON.stringify(effect.record));
    else if (effect.kind === 'return') this.giveBack(effect.machines);
    else if (effect.kind === 'rent') {
      const { zone, count } = effect.order;
      const name = `r-${this.stamp}-${this.made}-${zone}-${count}`;
      this.event({ kind: 'renting', name, order: effect.order });
      const up = this.at + BOOT_S;
      const machines = Array.from({ length: count }, () => this.addMachine(zone, up));
      this.later.push({ due: this.at + STEP_S, run: () => this.event({ kind: 'rented', name, machines }) });
    } else if (effect.kind === 'direct') this.direct(effect.machine, effect.session, effect.orders);
  }

  private giveBack(names: readonly string[]): void {
    for (const machine of this.machines)
      if (names.includes(machine.name))
        for (const each of machine.held) if (each.state === 'running') this.noteEnd(machine, each);
    this.machines = this.machines.filter((machine) => !names.includes(machine.name));
    this.later.push({
      due: this.at + STEP_S,
      run: () => this.event({ kind: 'returned', machines: names, ok: true }),
    });
  }

  private direct(name: string, session: number, orders: readonly Order[]): void {
    const token = this.owner.state.token;
    const owner = this.owner;
    const answer = (outcome: 'executed' | 'refused' | 'unknown', report: Report | null): void => {
      if (owner === this.owner)
        this.event({ kind: 'direct', machine: name, session, token, orders, outcome, report });
    };
    const machine = this.machines.find((each) => each.name === name && this.at >= each.up);
    if (machine === undefined || !machine.reachable) {
      this.later.push({ due: this.at + 2.5, run: () => answer('unknown', null) });
      return;
    }
    const accepted = token >= machine.token && session === machine.session;
    machine.token = Math.max(machine.token, token);
    if (accepted) this.carryOut(machine, orders);
    const report = machine.report();
    this.later.push({ due: this.at + STEP_S, run: () => answer(accepted ? 'executed' : 'refused', report) });
  }

  private commit(): void {
    for (;;) {
      const transaction = this.owner.nextTransaction(this.now());
      if (transaction === null) return;
      this.stamp += 1;
      const stamp = this.stamp;
      for (const page of transaction.pages) this.pages.set(page.id, { entries: page.entries, stamp });
      for (const id of transaction.done) {
        const job = this.jobs.get(id);
        if (job !== undefined) this.jobs.set(id, { record: { ...job.record, standing: 'done' }, stamp });
      }
      this.event({ kind: 'settled', transaction, stamp });
    }
  }
}
