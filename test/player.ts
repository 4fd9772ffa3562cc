import assert from 'node:assert/strict';
import { Owner, type Event } from '../src/core/owner.js';
import type { Facts, JobRecord, Listed, MachineType, Report, SeenTask, Spec } from '../src/core/model.js';
import type { Transaction } from '../src/core/outbox.js';
import { waitingInOrder } from '../src/core/placement-pass.js';
import { othersQuietFrom } from '../src/core/ownership-timing.js';
import { seconds, type Now } from '../src/core/time.js';
import type { Effect, Order } from '../src/core/cluster-state.js';
import { DEFAULT_SETTINGS } from '../src/edge/operator-settings.js';

/**
 * Plays a trace: one line per event, `>` lines for what must come out, `=` lines for what must hold. Traces are kept in
 * `test/traces` and read from top to bottom; docs in `test/traces/README.md`.
 */
export const FACTS: Facts = {
  zones: ['east', 'west'],
  teams: [
    { name: 'red', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 },
    { name: 'blue', cpus: 0, gpus: 2, cpusMax: 0, gpusMax: 4 },
    { name: 'green', cpus: 0, gpus: 2, cpusMax: 0, gpusMax: 4 },
  ],
  objectives: [],
  report: seconds(1),
  lease: seconds(10),
  gangWait: seconds(30),
  gangPeer: seconds(8),
  cancel: seconds(30),
  txnOps: 8,
  valueBytes: 4096,
  listLag: seconds(4),
};

export const TYPE: MachineType = {
  name: 'big',
  cpus: 8,
  gpus: 2,
  memory: 64,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 4,
  boot: seconds(30),
  zones: ['east', 'west'],
};

export function spec(id: string, over: Partial<Spec> = {}): Spec {
  return {
    id,
    class: 'work',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    tasks: 1,
    cpus: 2,
    gpus: 1,
    memory: 8,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    image: 'img',
    imageGb: 2,
    estimate: seconds(30),
    checkpoint: 0n,
    save: 0n,
    due: null,
    dependencies: [],
    ...over,
  };
}

type Args = Record<string, string>;

function argsOf(words: readonly string[]): { bare: string[]; args: Args } {
  const bare: string[] = [];
  const args: Args = {};
  for (const word of words) {
    const cut = word.indexOf('=');
    if (cut > 0) args[word.slice(0, cut)] = word.slice(cut + 1);
    else bare.push(word);
  }
  return { bare, args };
}

const num = (v: string | undefined, fallback: number): number => (v === undefined ? fallback : Number(v));
const flag = (v: string | undefined): boolean => v === 'yes';

export class Player {
  readonly owner: Owner;
  private at = 0;
  private out: string[] = [];
  private transaction: Transaction | null = null;
  private stamp: number;
  private readonly seqs = new Map<string, number>();

  constructor(readonly token = 100) {
    const began = this.now().steady;
    this.owner = new Owner(FACTS, DEFAULT_SETTINGS, {
      token,
      began,
      contact: began,
      othersQuiet: othersQuietFrom(FACTS, began),
    });
    this.stamp = token + 1;
    this.event({ kind: 'types', types: [TYPE] });
  }

  now(): Now {
    return { steady: seconds(1000 + this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  event(event: Event): void {
    for (const effect of this.owner.handle(event, this.now())) this.record(effect);
  }

  private record(effect: Effect): void {
    if (effect.kind === 'direct' && effect.orders.length > 0)
      for (const order of effect.orders) this.out.push(`direct ${effect.machine} ${orderText(order)}`);
    else if (effect.kind === 'direct') this.out.push(`fence ${effect.machine}`);
    else if (effect.kind === 'return') this.out.push(`return ${effect.machines.join(',')}`);
    else if (effect.kind === 'raise') this.out.push('raise');
    else if (effect.kind === 'abdicate') this.out.push('abdicate');
    else if (effect.kind === 'deposed') this.out.push(`deposed ${effect.token}`);
  }

  play(text: string, name: string): void {
    text.split('\n').forEach((raw, n) => {
      const line = raw.replace(/(^|\s)#(\s.*)?$/, '').trim();
      if (line === '') return;
      try {
        this.line(line);
      } catch (e) {
        throw new Error(`${name}:${n + 1}: ${e instanceof Error ? e.message : String(e)}`, { cause: e });
      }
    });
    assert.deepEqual(this.out, [], `${name}: effects at the end that no line expects`);
  }

  private line(line: string): void {
    const [verb = '', ...rest] = line.split(/\s+/);
    if (verb === '>') return this.expect(rest.join(' '));
    if (verb === '=') return this.check(rest);
    const { bare, args } = argsOf(rest);
    const name = bare[0] ?? '';
    switch (verb) {
      case 'at':
        this.at = Number(name);
        break;
      case 'tick':
        this.event({ kind: 'tick' });
        break;
      case 'contact':
        this.event({ kind: 'contact', at: this.now().steady });
        break;
      case 'job':
        this.job(name, args);
        break;
      case 'cancel':
        this.standing(name, 'cancelled');
        break;
      case 'ended':
        this.event({ kind: 'ended', id: name, standing: bare[1] === 'done' ? 'done' : 'cancelled' });
        break;
      case 'held':
        this.held(name, bare[1] ?? '', args);
        break;
      case 'report':
        this.report(name, bare.slice(1), args, true);
        break;
      case 'late':
        this.report(name, bare.slice(1), args, false);
        break;
      case 'echo':
        this.echo(name, bare.slice(1), args);
        break;
      case 'outcome':
        this.outcome(name, bare[1] as 'executed' | 'refused' | 'unknown', bare.slice(2));
        break;
      case 'commit':
        this.commit();
        break;
      case 'raised':
        this.event({ kind: 'raised', token: Number(name) });
        break;
      case 'list':
        this.event({
          kind: 'list',
          machines: bare.map(listedOf),
          sent: seconds(1000 + num(args['sent'], this.at)),
        });
        break;
      case 'returned':
        this.event({ kind: 'returned', machines: [name], ok: true });
        break;
      default:
        throw new Error(`unknown line "${line}"`);
    }
  }

  private job(id: string, a: Args): void {
    const s = spec(id, {
      kind: (a['kind'] ?? 'array') as Spec['kind'],
      team: a['team'] ?? 'red',
      priority: (a['priority'] ?? 'normal') as Spec['priority'],
      tasks: num(a['tasks'], 1),
      gpus: num(a['gpus'], 1),
      cpus: num(a['cpus'], 2),
      oneZone: flag(a['onezone']),
      spread: flag(a['spread']),
      checkpoint: seconds(num(a['checkpoint'], 0)),
      save: seconds(num(a['save'], 0)),
      image: a['image'] ?? 'img',
      imageGb: num(a['gb'], 2),
      estimate: seconds(num(a['estimate'], 30)),
      due: a['due'] === undefined ? null : seconds(Number(a['due'])),
      dependencies: (a['after'] ?? '').split(',').filter(Boolean),
    });
    const record: JobRecord = { spec: s, submitted: this.now().wall, standing: 'open' };
    this.event({ kind: 'job', id, record, stamp: ++this.stamp });
  }

  private standing(id: string, standing: 'cancelled'): void {
    const job = this.owner.state.jobs.get(id);
    assert.ok(job !== undefined, `no job ${id}`);
    const record: JobRecord = { spec: job.spec, submitted: job.submitted, standing };
    this.event({ kind: 'job', id, record, stamp: ++this.stamp });
  }

  /** A place recorded by an earlier owner, and results: `held j/0#1 m1 session=1 zone=east done=1,2`. */
  private held(ref: string, machine: string, a: Args): void {
    const { job, task, attempt } = refOf(ref);
    const done = (a['done'] ?? '').split(',').filter(Boolean).map(Number);
    const intents = [{ task, attempt, machine, session: num(a['session'], 1), zone: a['zone'] ?? 'east' }];
    this.event({
      kind: 'page',
      id: this.owner.state.pages.size,
      entries: [{ job, index: 0, record: { attempt, done, intents } }],
      stamp: ++this.stamp,
    });
  }

  private makeReport(machine: string, tasks: readonly string[], a: Args): Report {
    const seq = num(a['seq'], (this.seqs.get(machine) ?? 0) + 1);
    this.seqs.set(machine, Math.max(seq, this.seqs.get(machine) ?? 0));
    return {
      machine,
      endpoint: `${machine}:1`,
      type: 'big',
      zone: a['zone'] ?? 'east',
      spot: false,
      session: num(a['session'], 1),
      seq,
      token: num(a['token'], this.owner.state.token),
      notice: null,
      tasks: tasks.map(seenOf),
    };
  }

  private report(machine: string, tasks: readonly string[], a: Args, answered: boolean): void {
    const report = this.makeReport(machine, tasks, a);
    this.event({ kind: 'report', report: report });
    if (!answered) return;
    for (const order of this.owner.answer(report, this.now()))
      this.out.push(`answer ${machine} ${orderText(order)}`);
  }

  /** A direct call without orders was answered: the worker's report comes with it. */
  private echo(machine: string, tasks: readonly string[], a: Args): void {
    const report = this.makeReport(machine, tasks, a);
    const { session, token } = report;
    this.event({ kind: 'direct', machine, session, token, orders: [], outcome: 'executed', report });
  }

  private outcome(
    machine: string,
    outcome: 'executed' | 'refused' | 'unknown',
    refs: readonly string[],
  ): void {
    const orders = refs.map((r) => ({ op: 'start' as const, ...refOf(r) }));
    const m = this.owner.state.machines.get(machine);
    const token = this.owner.state.token;
    this.event({ kind: 'direct', machine, session: m?.session ?? 1, token, orders, outcome, report: null });
  }

  private commit(): void {
    this.transaction = this.owner.nextTransaction(this.now());
    assert.ok(this.transaction !== null, 'nothing to commit');
    for (const id of this.transaction.done) this.out.push(`done ${id}`);
    this.event({ kind: 'settled', transaction: this.transaction, stamp: ++this.stamp });
  }

  private expect(text: string): void {
    const at = this.out.indexOf(text);
    assert.ok(at >= 0, `expected "${text}", got ${JSON.stringify(this.out)}`);
    this.out.splice(at, 1);
  }

  /** `= places j` lists where tasks may be; `= nothing` that no effect is left; `= used team gpus`. */
  private check(words: readonly string[]): void {
    const [what, ...rest] = words;
    if (what === 'nothing') return assert.deepEqual(this.out, []);
    if (what === 'places') {
      const [id = '', ...want] = rest;
      const got: string[] = [];
      for (const chunk of this.owner.state.jobs.get(id)?.chunks.values() ?? [])
        for (const intent of chunk.intents.values())
          got.push(`${intent.task}#${intent.attempt}@${intent.machine}`);
      return assert.deepEqual(got.sort(), want.sort());
    }
    if (what === 'used') return assert.equal(this.owner.state.quota.of(rest[0] ?? '').gpus, Number(rest[1]));
    if (what === 'priority') return assert.equal(this.owner.state.jobs.get(rest[0] ?? '')?.priority, rest[1]);
    if (what === 'queue')
      return assert.deepEqual(
        waitingInOrder(this.owner.state, this.now()).map((job) => job.spec.id),
        rest,
      );
    if (what === 'standing') return assert.equal(this.owner.state.jobs.get(rest[0] ?? '')?.standing, rest[1]);
    throw new Error(`unknown check ${what}`);
  }
}

const listedOf = (name: string): Listed => ({
  name,
  endpoint: `${name}:1`,
  type: 'big',
  zone: 'east',
  spot: false,
  state: 'running',
  age: seconds(60),
});

function orderText(order: Order): string {
  const grace = order.op === 'stop' ? ` grace=${order.grace ?? 0}` : '';
  return `${order.op} ${order.job}/${order.task}#${order.attempt}${grace}`;
}

function refOf(ref: string): { job: string; task: number; attempt: number } {
  const m = /^(.+)\/(\d+)#(\d+)$/.exec(ref);
  assert.ok(m !== null, `not a task: ${ref}`);
  return { job: m[1] ?? '', task: Number(m[2]), attempt: Number(m[3]) };
}

/** `j/0#1:running` or `j/0#1:exited:done`. */
function seenOf(text: string): SeenTask {
  const [ref = '', state = 'running', why] = text.split(':');
  return { ...refOf(ref), state: state as SeenTask['state'], why: why ?? null, saved: false };
}
