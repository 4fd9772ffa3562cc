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

/** The owner's core with a fleet that reports to it and a state service that carries out its transactions. */
export class CoreFleet {
  private at = 0;
  private stamp = 100;
  owner: Owner;
  readonly held = new Map<string, SeenTask[]>();
  private readonly seqs = new Map<string, number>();
  readonly jobs = new Map<string, { record: JobRecord; stamp: number }>();
  readonly pages = new Map<number, { entries: readonly PageEntry[]; stamp: number }>();
  changes = 0;
  commits = 0;

  constructor(readonly machines: number) {
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
    for (const [id, j] of this.jobs) this.event({ kind: 'job', id, ...j });
    for (const [id, p] of this.pages) this.event({ kind: 'page', id, ...p });
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
      if (order.op === 'forget' && at >= 0) held.splice(at, 1);
    }
    this.held.set(name, held);
  }

  helloAll(): void {
    for (let n = 0; n < this.machines; n++) this.hello(n);
  }

  submit(id: string, over: Partial<Spec>): void {
    const record: JobRecord = { spec: spec(id, over), submitted: this.now().wall, standing: 'open' };
    const stamp = ++this.stamp;
    this.jobs.set(id, { record, stamp });
    this.event({ kind: 'job', id, record, stamp });
  }

  /** Carries out transactions until nothing is due. */
  commit(): void {
    for (;;) {
      const transaction = this.owner.nextTransaction(this.now());
      if (transaction === null) return;
      const stamp = ++this.stamp;
      this.commits += 1;
      this.changes += changesIn(transaction);
      for (const page of transaction.pages) this.pages.set(page.id, { entries: page.entries, stamp });
      for (const id of transaction.done) {
        const j = this.jobs.get(id);
        if (j !== undefined) this.jobs.set(id, { record: { ...j.record, standing: 'done' }, stamp });
      }
      this.event({ kind: 'settled', transaction: transaction, stamp });
    }
  }

  finish(n: number): boolean {
    const name = this.name(n);
    const held = this.held.get(name) ?? [];
    const at = held.findIndex((task) => task.state === 'running');
    const t = held[at];
    if (t === undefined) return false;
    this.held.set(
      name,
      held.map((task, k) => (k === at ? { ...t, state: 'exited', why: 'done' } : task)),
    );
    return true;
  }
}
