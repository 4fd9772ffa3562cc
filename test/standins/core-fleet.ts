import type { Effect } from '../../src/core/cluster-state.js';
import type { JobRecord, MachineType, Report, SeenTask, Spec } from '../../src/core/model.js';
import { changesIn } from '../../src/core/outbox.js';
import { Owner, type Event } from '../../src/core/owner.js';
import { othersQuietFrom } from '../../src/core/ownership-timing.js';
import type { PageEntry } from '../../src/core/record-pages.js';
import { seconds, type Now } from '../../src/core/time.js';
import { DEFAULT_SETTINGS } from '../../src/edge/operator-settings.js';
import { FACTS, spec } from '../player.js';

/** How often each machine reports. */
const REPORT_S = 4;

const TYPE: MachineType = {
  name: 'big',
  cpus: 48,
  gpus: 4,
  memory: 288,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 4,
  boot: seconds(30),
  zones: ['east', 'west'],
};

/** How a version writes records and reads them. */
export interface RecordCodec {
  writeJob(record: JobRecord): unknown;
  readJob(value: unknown): JobRecord;
  writePage(entries: readonly PageEntry[], zones: readonly string[]): unknown;
  readPage(value: unknown): readonly PageEntry[];
}

/** Records kept as they are, where it does not matter how they are written. */
const UNWRITTEN: RecordCodec = {
  writeJob: (record) => record,
  readJob: (value) => value as JobRecord,
  writePage: (entries) => entries,
  readPage: (value) => value as readonly PageEntry[],
};

/** A key of the state service. */
interface Stored {
  readonly value: unknown;
  readonly stamp: number;
}

/** The owner's core with a fleet that reports to it and a state service that carries out its transactions. */
export class CoreFleet {
  private at = 0;
  private stamp = 100;
  owner: Owner;
  readonly held = new Map<string, SeenTask[]>();
  private readonly seqs = new Map<string, number>();
  readonly jobs = new Map<string, Stored>();
  readonly pages = new Map<number, Stored>();
  changes = 0;
  commits = 0;

  constructor(
    readonly machines: number,
    /** Of the version that leads. */
    public codec: RecordCodec = UNWRITTEN,
  ) {
    this.owner = this.newOwner();
  }

  now(): Now {
    return { steady: seconds(1000 + this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  newOwner(): Owner {
    const began = this.now().steady;
    this.owner = new Owner(
      { ...FACTS, report: seconds(REPORT_S), lease: seconds(24), cancel: seconds(49) },
      DEFAULT_SETTINGS,
      {
        token: ++this.stamp,
        began,
        contact: began,
        othersQuiet: othersQuietFrom(FACTS, began),
      },
    );
    this.event({ kind: 'types', types: [TYPE] });
    for (const [id, { value, stamp }] of this.jobs)
      this.event({ kind: 'job', id, record: this.codec.readJob(value), stamp });
    for (const [id, { value, stamp }] of this.pages)
      this.event({ kind: 'page', id, entries: this.codec.readPage(value), stamp });
    this.event({ kind: 'loaded' });
    return this.owner;
  }

  event(event: Event): readonly Effect[] {
    return this.owner.handle(event, this.now());
  }

  /** Time goes on, and each machine goes on reporting. */
  advance(s: number): void {
    const before = Math.floor(this.at / REPORT_S);
    this.at += s;
    if (Math.floor(this.at / REPORT_S) > before) this.helloAll();
    this.event({ kind: 'contact', at: this.now().steady });
  }

  name(n: number): string {
    return `n-${String(n).padStart(6, '0')}`;
  }

  report(n: number): Report {
    const name = this.name(n);
    const seq = (this.seqs.get(name) ?? 0) + 1;
    this.seqs.set(name, seq);
    return {
      machine: name,
      endpoint: '127.0.0.1:1',
      type: 'big',
      zone: n % 2 === 0 ? 'east' : 'west',
      spot: false,
      session: 1,
      seq,
      token: this.owner.state.token,
      notice: null,
      tasks: this.held.get(name) ?? [],
    };
  }

  hello(n: number): void {
    const name = this.name(n);
    const report = this.report(n);
    this.event({ kind: 'report', report: report });
    const held = (this.held.get(name) ?? []).slice();
    for (const order of this.owner.answer(report, this.now())) {
      const at = held.findIndex(
        (task) => task.job === order.job && task.task === order.task && task.attempt === order.attempt,
      );
      if (order.op === 'start' && at < 0)
        held.push({
          job: order.job,
          task: order.task,
          attempt: order.attempt,
          state: 'running',
          why: null,
          saved: false,
        });
      const task = held[at];
      if (order.op === 'stop' && task !== undefined)
        held[at] = { ...task, state: 'exited', why: task.why ?? 'stopped' };
      if (order.op === 'forget' && at >= 0) held.splice(at, 1);
    }
    this.held.set(name, held);
  }

  helloAll(): void {
    for (let n = 0; n < this.machines; n++) this.hello(n);
  }

  submit(id: string, over: Partial<Spec>): void {
    const record: JobRecord = { spec: spec(id, over), submitted: this.now().wall, standing: 'open' };
    this.store(id, this.codec.writeJob(record));
  }

  /** A job's record is written, by any controller, and the owner follows it. */
  store(id: string, value: unknown): void {
    const stamp = ++this.stamp;
    this.jobs.set(id, { value, stamp });
    this.event({ kind: 'job', id, record: this.codec.readJob(value), stamp });
  }

  /** Carries out transactions until nothing is due. */
  commit(): void {
    for (;;) {
      const transaction = this.owner.nextTransaction(this.now());
      if (transaction === null) return;
      const stamp = ++this.stamp;
      this.commits += 1;
      this.changes += changesIn(transaction);
      for (const page of transaction.pages)
        this.pages.set(page.id, { value: this.codec.writePage(page.entries, FACTS.zones), stamp });
      for (const id of transaction.done) this.end(id, 'done', stamp);
      for (const id of transaction.cancelled) this.end(id, 'cancelled', stamp);
      this.event({ kind: 'settled', transaction: transaction, stamp });
    }
  }

  /** The owner writes the end of a job from what it holds in memory. */
  private end(id: string, standing: 'done' | 'cancelled', stamp: number): void {
    const job = this.owner.state.jobs.get(id);
    if (job === undefined) return;
    const { spec, submitted } = job;
    this.jobs.set(id, { value: this.codec.writeJob({ spec, submitted, standing }), stamp });
  }

  /** Has one running task of a machine end well; false: it has none. */
  finish(n: number): boolean {
    const held = this.held.get(this.name(n)) ?? [];
    const task = held.find((each) => each.state === 'running');
    if (task === undefined) return false;
    this.exitWell(n, task);
    return true;
  }

  /** Has all running tasks of a job on a machine end well. */
  finishOf(n: number, job: string): void {
    for (const task of this.held.get(this.name(n)) ?? [])
      if (task.job === job && task.state === 'running') this.exitWell(n, task);
  }

  private exitWell(n: number, task: SeenTask): void {
    const held = this.held.get(this.name(n)) ?? [];
    this.held.set(
      this.name(n),
      held.map((each) => (each === task ? { ...each, state: 'exited', why: 'done' } : each)),
    );
  }
}
