import { Owner, type Event } from '../src/core/owner.js';
import type { JobRecord, MachineType, Report, SeenTask, Spec } from '../src/core/model.js';
import type { PageEntry } from '../src/core/record-pages.js';
import { changesIn } from '../src/core/outbox.js';
import { othersQuietFrom } from '../src/core/ownership-timing.js';
import { seconds, type Now } from '../src/core/time.js';
import type { Effect } from '../src/core/cluster-state.js';
import { DEFAULT_SETTINGS } from '../src/edge/operator-settings.js';
import { FACTS, spec } from '../test/player.js';

/**
 * What events cost the owner's core as machines and tasks become more. Run by hand: `npm run cost`. Absolute times
 * depend on the machine, so what counts is each column's ratio to the smallest size, and the counts beside it.
 */
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

class Rig {
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
      { ...FACTS, report: seconds(4), lease: seconds(24), cancel: seconds(49) },
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
    const before = Math.floor(this.at / 4);
    this.at += s;
    if (Math.floor(this.at / 4) > before) this.helloAll();
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

const micros = (n: number, f: (k: number) => void): number => {
  const began = process.hrtime.bigint();
  for (let k = 0; k < n; k++) f(k);
  return Number(process.hrtime.bigint() - began) / 1000 / n;
};

function measure(machines: number): Record<string, number> {
  const rig = new Rig(machines);
  rig.helloAll();
  rig.helloAll();
  const tasks = machines * 4;
  const array = { cpus: 10, gpus: 1, memory: 54, tasks: 40, priority: 'low' as const };
  let id = 0;
  const out: Record<string, number> = { machines, tasks };
  const fill = Math.ceil(tasks / 40) - 1;
  out['place one array'] = micros(fill, () => {
    rig.submit(`req-${++id}`, array);
    rig.advance(0.3);
    rig.event({ kind: 'tick' });
  });
  rig.commit();
  out['changes, a placed task'] = rig.changes / (fill * 40);
  rig.helloAll();
  rig.helloAll();
  out['report'] = micros(2000, (k) => rig.event({ kind: 'report', report: rig.report(k % machines) }));
  out['report and answer'] = micros(2000, (k) => rig.hello(k % machines));
  for (let k = 0; k < 20; k++) rig.submit(`req-${++id}`, array);
  rig.advance(0.3);
  rig.event({ kind: 'tick' });
  out['pass, 20 arrays blocked'] = micros(10, () => {
    rig.advance(0.3);
    rig.event({ kind: 'tick' });
  });
  for (let k = 0; k < 20; k++)
    rig.submit(`req-${++id}`, { ...array, priority: 'normal', kind: 'gang', tasks: 4, oneZone: true });
  out['pass, and 20 gangs'] = micros(10, () => {
    rig.advance(0.3);
    rig.event({ kind: 'tick' });
  });
  rig.changes = 0;
  rig.commits = 0;
  let ended = 0;
  out['exit, pass and commit'] = micros(200, (k) => {
    if (rig.finish((k * 7) % machines)) ended += 1;
    rig.hello((k * 7) % machines);
    rig.advance(0.03);
    if (k % 8 === 7) {
      rig.event({ kind: 'tick' });
      rig.commit();
    }
  });
  out['changes, an ended task'] = rig.changes / ended;
  out['tick'] = micros(100, () => {
    rig.advance(0.1);
    rig.event({ kind: 'tick' });
  });
  out['takeover'] = micros(1, () => rig.newOwner());
  return out;
}

const sizes = process.argv.slice(2).map(Number);
for (const n of sizes.length > 0 ? sizes : [50]) measure(n); // warms the code up
const rows = (sizes.length > 0 ? sizes : [50, 200, 1000]).map(measure);
const first = rows[0] ?? {};
for (const key of Object.keys(first)) {
  const cells = rows.map((r) => {
    const v = r[key] ?? 0;
    const ratio = v / (first[key] ?? 1);
    return key === 'machines' || key === 'tasks'
      ? String(v)
      : `${v.toFixed(v < 1 ? 3 : 0)} (x${ratio.toFixed(1)})`;
  });
  console.log(key.padEnd(28), ...cells.map((c) => c.padStart(18)));
}
