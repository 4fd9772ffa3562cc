import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Owner, type Event } from '../src/core/owner.js';
import type { JobRecord, Report, SeenTask } from '../src/core/model.js';
import type { Transaction } from '../src/core/outbox.js';
import type { PageEntry } from '../src/core/pages.js';
import { othersQuietFrom } from '../src/core/parts.js';
import { seconds, toSeconds, type Now } from '../src/core/time.js';
import type { Effect, Order } from '../src/core/world.js';
import { DEFAULTS } from '../src/edge/knobs.js';
import { FACTS, TYPE, spec } from './player.js';

interface Worker {
  name: string;
  session: number;
  seq: number;
  token: number;
  /** When the last answered report was sent. */
  renewed: number;
  cut: boolean;
  held: Map<string, SeenTask & { ends: number }>;
}

/** A small world round the core: late, lost and doubled messages, sessions that end, takeovers, cancellations. */
class Chaos {
  private readonly source;
  private at = 1000;
  private owner: Owner;
  private rev = 1;
  private readonly workers: Worker[] = [];
  private readonly jobs = new Map<string, { record: JobRecord; stamp: number; cancelled: number | null }>();
  private readonly pages = new Map<number, { entries: readonly PageEntry[]; stamp: number }>();
  private readonly mail: { due: number; run: () => void }[] = [];
  private busy = false;
  starts = 0;
  done = 0;

  constructor(seed: number) {
    this.source = xoroshiro128plus(seed);
    for (let n = 0; n < 5; n++)
      this.workers.push({
        name: `m${n}`,
        session: 1,
        seq: 0,
        token: 0,
        renewed: this.at,
        cut: false,
        held: new Map(),
      });
    this.owner = this.newOwner();
  }

  private pick(n: number): number {
    return uniformInt(this.source, 0, n - 1);
  }

  private now(): Now {
    return { steady: seconds(this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  /** A new term: a higher token, and everything known comes from what was committed. */
  private newOwner(): Owner {
    const began = this.now().steady;
    const token = ++this.rev;
    const owner = new Owner(FACTS, DEFAULTS, { token, began, othersQuiet: othersQuietFrom(FACTS, began) });
    this.owner = owner;
    this.busy = false;
    this.event({ kind: 'types', types: [TYPE] });
    for (const [id, j] of this.jobs) this.event({ kind: 'job', id, record: j.record, stamp: j.stamp });
    for (const [id, p] of this.pages) this.event({ kind: 'page', id, entries: p.entries, stamp: p.stamp });
    return owner;
  }

  private event(e: Event): void {
    for (const f of this.owner.handle(e, this.now())) this.effect(f);
    this.commit();
  }

  private later(most: number, run: () => void): void {
    this.mail.push({ due: this.at + this.pick(Math.max(1, Math.round(most * 10))) / 10, run });
  }

  private effect(f: Effect): void {
    if (f.kind === 'raise') {
      const owner = this.owner;
      this.later(0.5, () => {
        if (owner === this.owner) this.event({ kind: 'raised', token: ++this.rev });
      });
    }
    if (f.kind !== 'direct') return;
    const owner = this.owner;
    const token = owner.world.token;
    const w = this.workers.find((x) => x.name === f.machine);
    assert.ok(w !== undefined);
    const tell = (outcome: 'executed' | 'refused' | 'unknown', report: Report | null): void => {
      if (owner !== this.owner) return;
      this.event({
        kind: 'direct',
        machine: f.machine,
        session: f.session,
        token,
        orders: f.orders,
        outcome,
        report,
      });
    };
    const arrive = (): boolean => {
      const ok = token >= w.token && f.session === w.session;
      if (ok) this.take(w, token, f.orders);
      return ok;
    };
    // One in five is given up on and may arrive up to a minute later, or never.
    if (this.pick(5) === 0 || w.cut) {
      this.later(1, () => tell('unknown', null));
      if (this.pick(3) > 0) this.later(60, () => arrive());
    } else
      this.later(0.3, () => {
        const ok = arrive();
        tell(ok ? 'executed' : 'refused', this.report(w));
      });
  }

  private take(w: Worker, token: number, orders: readonly Order[]): void {
    if (token < w.token) return;
    w.token = token;
    for (const o of orders) {
      const key = `${o.job}/${o.task}#${o.attempt}`;
      const held = w.held.get(key);
      if (o.op === 'start' && held === undefined) this.start(w, o, key);
      if (o.op === 'stop' && held !== undefined && held.state !== 'exited')
        w.held.set(key, { ...held, state: 'exited', why: 'stopped' });
      if (o.op === 'forget' && held?.state === 'exited') w.held.delete(key);
    }
  }

  private start(w: Worker, o: Order, key: string): void {
    this.starts += 1;
    const recorded = this.entries(o.job).flatMap((e) => e.image.intents);
    assert.ok(
      recorded.some((i) => i.task === o.task && i.attempt === o.attempt && i.machine === w.name),
      `${key} starts on ${w.name} without a recorded place`,
    );
    for (const other of this.workers)
      for (const t of other.held.values())
        assert.ok(
          t.state === 'exited' || t.job !== o.job || t.task !== o.task,
          `${o.job}/${o.task} starts on ${w.name} while on ${other.name}`,
        );
    const task = {
      job: o.job,
      task: o.task,
      attempt: o.attempt,
      state: 'running' as const,
      why: null,
      saved: false,
    };
    w.held.set(key, { ...task, ends: this.at + 2 + this.pick(15) });
  }

  private entries(job: string): PageEntry[] {
    return [...this.pages.values()].flatMap((p) => p.entries.filter((e) => e.job === job));
  }

  private report(w: Worker): Report {
    w.seq += 1;
    const tasks = [...w.held.values()].map(({ job, task, attempt, state, why, saved }) => ({
      job,
      task,
      attempt,
      state,
      why,
      saved,
    }));
    return {
      machine: w.name,
      endpoint: `${w.name}:1`,
      type: 'big',
      zone: w.name < 'm3' ? 'east' : 'west',
      spot: false,
      session: w.session,
      seq: w.seq,
      token: w.token,
      notice: null,
      tasks,
    };
  }

  private hello(w: Worker): void {
    const r = this.report(w);
    const sent = this.at;
    // A report that is held back arrives late and its answer is dropped; it may also come twice.
    if (w.cut || this.pick(12) === 0) return this.later(40, () => this.event({ kind: 'report', report: r }));
    if (this.pick(12) === 0) this.later(20, () => this.event({ kind: 'report', report: r }));
    this.event({ kind: 'report', report: r });
    const token = this.owner.world.token;
    const orders = this.owner.answer(r, this.now());
    if (this.pick(12) === 0 || token < w.token || r.session !== w.session) return;
    w.renewed = sent;
    this.take(w, token, orders);
  }

  private commit(): void {
    if (this.busy) return;
    const t = this.owner.nextTransaction(this.now());
    if (t === null) return;
    this.busy = true;
    const owner = this.owner;
    this.later(0.3, () => {
      if (owner !== this.owner) return;
      this.busy = false;
      this.apply(t);
    });
  }

  private apply(t: Transaction): void {
    for (const [id, stamp] of t.jobs) if (this.jobs.get(id)?.stamp !== stamp) return this.commit();
    const stamp = ++this.rev;
    for (const p of t.pages) {
      assert.equal(this.pages.get(p.id)?.stamp ?? 0, p.stamp, 'one writer per page');
      this.pages.set(p.id, { entries: p.entries, stamp });
    }
    for (const id of t.done) {
      const j = this.jobs.get(id);
      assert.ok(j !== undefined && j.record.standing === 'open');
      const all = this.entries(id).reduce((n, e) => n + e.image.done.length, 0);
      assert.equal(all, j.record.spec.tasks, 'done is committed only with all results');
      this.jobs.set(id, { ...j, record: { ...j.record, standing: 'done' }, stamp });
      this.done += 1;
    }
    this.event({ kind: 'settled', transaction: t, stamp });
  }

  step(n: number): void {
    this.at = Math.round((this.at + 0.1) * 10) / 10;
    for (const m of this.mail.filter((x) => x.due <= this.at)) {
      this.mail.splice(this.mail.indexOf(m), 1);
      m.run();
    }
    for (const w of this.workers) {
      for (const [k, t] of w.held)
        if (t.state === 'running' && t.ends <= this.at)
          w.held.set(k, { ...t, state: 'exited', why: this.pick(8) === 0 ? 'error' : 'done' });
      if (this.at - w.renewed > toSeconds(FACTS.lease)) {
        w.held.clear();
        w.session += 1;
        w.seq = 0;
        w.renewed = this.at;
      }
      if (this.pick(400) === 0) w.cut = !w.cut;
      if ((n + Number(w.name.slice(1)) * 2) % 10 === 0) this.hello(w);
    }
    if (n % 10 === 0) this.event({ kind: 'contact', at: this.now().steady });
    if (n % 3 === 0) this.event({ kind: 'tick' });
    if (this.pick(40) === 0) this.arrive(n);
    if (this.pick(120) === 0) this.cancel();
    if (this.pick(900) === 0) this.owner = this.newOwner();
    this.check();
  }

  private arrive(n: number): void {
    const gang = this.pick(4) === 0;
    const team = (['red', 'blue', 'green'] as const)[this.pick(3)] ?? 'red';
    const id = `j${n}`;
    const s = spec(id, {
      kind: gang ? 'gang' : 'array',
      tasks: 1 + this.pick(3),
      team,
      priority: this.pick(3) === 0 ? 'high' : 'normal',
    });
    const record: JobRecord = { spec: s, submitted: this.now().wall, standing: 'open' };
    const stamp = ++this.rev;
    this.jobs.set(id, { record, stamp, cancelled: null });
    this.event({ kind: 'job', id, record, stamp });
  }

  private cancel(): void {
    const open = [...this.jobs].filter(([, j]) => j.record.standing === 'open');
    const one = open[this.pick(Math.max(1, open.length))];
    if (one === undefined) return;
    const [id, j] = one;
    const next = {
      record: { ...j.record, standing: 'cancelled' as const },
      stamp: ++this.rev,
      cancelled: this.at,
    };
    this.jobs.set(id, next);
    this.later(0.4, () => this.event({ kind: 'job', id, record: next.record, stamp: next.stamp }));
  }

  private check(): void {
    const used = new Map<string, number>();
    for (const w of this.workers)
      for (const t of w.held.values()) {
        const j = this.jobs.get(t.job);
        if (t.state === 'exited' || j === undefined) continue;
        used.set(j.record.spec.team, (used.get(j.record.spec.team) ?? 0) + j.record.spec.gpus);
        if (j.cancelled !== null)
          assert.ok(
            this.at - j.cancelled <= toSeconds(FACTS.cancel),
            `${t.job} runs on ${w.name} long after its cancellation`,
          );
      }
    for (const team of FACTS.teams)
      if (team.gpusMax > 0)
        assert.ok((used.get(team.name) ?? 0) <= team.gpusMax, `${team.name} is over its limit`);
  }
}

for (const seed of [1, 2, 3, 4])
  test(`rules hold in a random run, seed ${seed}`, () => {
    const c = new Chaos(seed);
    for (let n = 0; n < 4000; n++) c.step(n);
    assert.ok(c.starts > 30 && c.done > 10, `little happened: ${c.starts} starts, ${c.done} done`);
  });
