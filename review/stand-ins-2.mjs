/**
 * @file Stand-ins for the cases 4 to 8: the state service, the cloud, workers, users and the platform that starts the
 * controllers as processes. Everything listens on 127.0.0.1 and uses the real clock. They follow the protocol page;
 * where it is silent they behave like a sound server, client or platform.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Encoder } from 'cbor-x';

const MAX_BODY_BYTES = 64 * 1024;
const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..');
const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

/** Encodes a message; whole numbers are written as integers, whatever their size. */
const encode = (value) => codec.encode(wholeNumbers(value));
const decode = (bytes) => (bytes.length === 0 ? {} : codec.decode(bytes));

function wholeNumbers(value) {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && value > 0xffffffff ? BigInt(value) : value;
  if (Array.isArray(value)) return value.map(wholeNumbers);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([, field]) => field !== undefined)
      .map(([name, field]) => [name, wholeNumbers(field)]),
  );
}

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Waits until the condition holds. Returns false after `limitMs`. */
export async function until(condition, limitMs) {
  const deadline = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > deadline) return false;
    await sleep(100);
  }
  return true;
}

/** The record of a run: one line for each thing that was sent, answered or run. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = Date.now();
    writeFileSync(path, '');
  }

  line(text) {
    appendFileSync(this.path, `${((Date.now() - this.startedAt) / 1000).toFixed(2).padStart(7)} ${text}\n`);
  }
}

/** Whether a server can listen on the port now. */
const isFree = (port) =>
  new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });

/**
 * Returns free ports below those that the kernel gives to outgoing connections, so that none is taken while its
 * controller is being restarted.
 */
async function freePorts(count) {
  const ports = new Set();
  for (let tries = 0; ports.size < count && tries < 1000; tries++) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  if (ports.size < count) throw new Error('no free ports');
  return [...ports];
}

/** Starts a server. The handler returns `{ status, body }`, or null to leave the request unanswered. */
async function listen(handler) {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    const parts = [];
    request.on('data', (data) => parts.push(data));
    request.on('error', () => undefined);
    request.on('end', async () => {
      const url = new URL(request.url, 'http://stand-in');
      const reply = await handler(request.method, url, decode(Buffer.concat(parts)));
      if (reply === null || response.destroyed) return;
      const body = encode(reply.body ?? {});
      response.writeHead(reply.status, { 'content-type': 'application/cbor', 'content-length': body.length });
      response.end(body);
    });
  });
  await new Promise((done) => server.listen(0, '127.0.0.1', done));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends a request. Resolves to `{ status, body }`; status 0 means that there was no answer in time. */
export function call(address, method, path, body, { timeoutMs = 2000, agent = false } = {}) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? null : encode(body);
    const headers =
      bytes === null ? {} : { 'content-type': 'application/cbor', 'content-length': bytes.length };
    const request = http.request({ host, port, method, path, agent, headers }, (response) => {
      const parts = [];
      response.on('data', (data) => parts.push(data));
      response.on('error', () => finish({ status: 0, body: {} }));
      response.on('end', () => {
        try {
          finish({ status: response.statusCode, body: decode(Buffer.concat(parts)) });
        } catch {
          finish({ status: response.statusCode, body: {} });
        }
      });
    });
    const timer = setTimeout(() => {
      request.destroy();
      finish({ status: 0, body: {} });
    }, timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', () => finish({ status: 0, body: {} }));
    if (bytes !== null) request.write(bytes);
    request.end();
  });
}

/** A limit on requests per second with a burst of one second's worth. */
class Limit {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = Date.now();
  }

  take(count) {
    const now = Date.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** The state service: keys with versions, transactions, leases and watches, with its limits. */
export class StateService {
  items = new Map();
  changes = [];
  revision = 0;
  down = false;
  /** Nodes whose requests get 503 while the others are served. */
  refused = new Set();
  leases = new Map();
  watchers = new Set();
  nextLease = 1;
  latencyMs = 3;
  addresses = new Map();
  servers = [];

  /** `firstRevision` is the revision before the first change; versions are integers less than 2^64. */
  constructor(limits, firstRevision = 0n) {
    this.limits = limits;
    this.firstRevision = firstRevision;
    this.requests = new Limit(limits.rps);
    this.writes = new Limit(limits.write_rps);
  }

  /** Opens an address for one node. */
  async open(node) {
    const server = await listen((method, url, body) => this.answer(node, method, url, body));
    this.servers.push(server);
    this.addresses.set(node, server.address);
  }

  close() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const server of this.servers) server.close();
  }

  async answer(node, method, url, body) {
    if (url.pathname === '/follow') return this.follow(node, url);
    if (this.isDownFor(node)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'too many requests' } };
    await sleep(this.latencyMs);
    if (url.pathname === '/commit') return this.commit(body);
    if (url.pathname === '/store') return this.list(url);
    if (url.pathname.startsWith('/store/')) return this.read(url.pathname.slice('/store/'.length));
    if (url.pathname === '/holds') return this.grant(body.ttlMs);
    const [, id, touch] = /^\/holds\/(\d+)(\/touch)?$/.exec(url.pathname) ?? [];
    if (id === undefined) return { status: 400 };
    return touch === undefined ? this.endLease(Number(id)) : this.touch(Number(id));
  }

  /** A revision as it is written in answers. */
  shown(revision) {
    return BigInt(revision) + this.firstRevision;
  }

  /** Whether a guard holds: the key has this version, or doesn't exist if the version is 0. */
  isAt(key, stamp) {
    const item = this.items.get(key);
    return BigInt(stamp) === (item === undefined ? 0n : this.shown(item.stamp));
  }

  isDownFor(node) {
    return this.down || this.refused.has(node);
  }

  read(key) {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { ledgerRev: this.shown(this.revision) } };
    return {
      status: 200,
      body: { key, value: item.value, stamp: this.shown(item.stamp), permit: item.permit },
    };
  }

  list(url) {
    const under = url.searchParams.get('under') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const page = Math.min(1000, Number(url.searchParams.get('page') ?? 1000));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const items = keys.slice(0, page).map((key) => ({
      key,
      value: this.items.get(key).value,
      stamp: this.shown(this.items.get(key).stamp),
    }));
    return {
      status: 200,
      body: { items, hasNext: keys.length > page, ledgerRev: this.shown(this.revision) },
    };
  }

  commit({ guards = [], writes = [] }) {
    const tooLarge = writes.some(
      ({ value }) => Buffer.byteLength(JSON.stringify(value ?? null)) > this.limits.value_kb * 1024,
    );
    if (tooLarge || writes.length > this.limits.txn_ops || guards.length > 4 * this.limits.txn_ops)
      return { status: 400, body: { error: 'over a limit' } };
    if (writes.length > 0 && !this.writes.take(writes.length))
      return { status: 429, body: { error: 'too many changes' } };
    if (writes.some(({ permit }) => permit != null && !this.leases.has(Number(permit))))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = guards.filter(({ key, stamp }) => !this.isAt(key, stamp));
    if (failed.length > 0)
      return {
        status: 409,
        body: { failed: failed.map(({ key }) => key), ledgerRev: this.shown(this.revision) },
      };
    if (writes.length > 0) {
      this.revision += 1;
      for (const change of writes) this.change(change);
      this.notify();
    }
    return { status: 200, body: { ledgerRev: this.shown(this.revision) } };
  }

  change({ write, delete: deleted, value, permit }) {
    const stamp = this.revision;
    if (write === undefined) {
      this.items.delete(deleted);
      this.changes.push({ delete: deleted, stamp });
    } else {
      this.items.set(write, { value, stamp, permit: permit == null ? null : Number(permit) });
      this.changes.push({ write, value, stamp });
    }
  }

  notify() {
    for (const watcher of [...this.watchers]) watcher();
  }

  grant(ttlMs) {
    const permit = this.nextLease++;
    const lease = { ttlMs, timer: null };
    this.leases.set(permit, lease);
    this.renew(permit, lease);
    return { status: 200, body: { permit } };
  }

  renew(permit, lease) {
    clearTimeout(lease.timer);
    // During an outage no lease ends; after it every lease has its full time again.
    lease.timer = setTimeout(
      () => (this.down ? this.renew(permit, lease) : this.endLease(permit)),
      lease.ttlMs,
    );
  }

  touch(permit) {
    const lease = this.leases.get(permit);
    if (lease === undefined) return { status: 404 };
    this.renew(permit, lease);
    return { status: 200 };
  }

  endLease(permit) {
    const lease = this.leases.get(permit);
    if (lease === undefined) return { status: 404 };
    clearTimeout(lease.timer);
    this.leases.delete(permit);
    const keys = [...this.items].filter(([, item]) => item.permit === permit).map(([key]) => key);
    if (keys.length > 0) {
      this.revision += 1;
      for (const key of keys) this.change({ delete: key });
      this.notify();
    }
    return { status: 200 };
  }

  /** Starts or ends an outage. */
  setDown(down) {
    this.down = down;
    if (!down) for (const [permit, lease] of this.leases) this.renew(permit, lease);
    this.notify();
  }

  async follow(node, url) {
    const from = Number(BigInt(url.searchParams.get('from')) - this.firstRevision);
    const under = url.searchParams.get('under') ?? '';
    const holdMs = Math.min(60_000, Number(url.searchParams.get('holdMs') ?? 0));
    if (!this.isDownFor(node) && !this.requests.take(1)) return { status: 429 };
    const visible = () =>
      this.isDownFor(node)
        ? []
        : this.changes.filter(
            (change) => change.stamp > from && (change.write ?? change.delete).startsWith(under),
          );
    if (visible().length === 0)
      await new Promise((done) => {
        const finish = () => {
          clearTimeout(timer);
          this.watchers.delete(check);
          done();
        };
        const check = () => visible().length > 0 && finish();
        const timer = setTimeout(finish, holdMs);
        this.watchers.add(check);
      });
    const news = visible().map((change) => ({ ...change, stamp: this.shown(change.stamp) }));
    return {
      status: 200,
      body: { ledgerRev: this.shown(this.isDownFor(node) ? from : this.revision), news },
    };
  }
}

/** What ran where, and the rules of the protocol page that can be seen from it. */
export class History {
  /** Machines on which each task is, by task. */
  onMachine = new Map();
  jobs = new Map();
  cancelledAt = new Map();
  broken = [];
  starts = 0;
  completed = new Map();
  gangs = new Map();

  constructor(record) {
    this.record = record;
  }

  breaks(rule, text) {
    this.broken.push(`${rule}: ${text}`);
    this.record.line(`BROKEN ${rule}: ${text}`);
  }

  enters(ticket, machine) {
    this.starts += 1;
    const on = this.onMachine.get(ticket) ?? new Set();
    for (const other of on)
      if (other !== machine) this.breaks('ran_twice', `${ticket} starts on ${machine} while on ${other}`);
    on.add(machine);
    this.onMachine.set(ticket, on);
  }

  leaves(ticket, machine) {
    this.onMachine.get(ticket)?.delete(machine);
  }

  /** Called at an interval: tasks of cancelled jobs that are still on a machine. */
  checkCancelled(cancelS) {
    for (const [ticket, on] of this.onMachine) {
      const at = this.cancelledAt.get(ticket.slice(0, ticket.lastIndexOf('/')));
      if (at !== undefined && on.size > 0 && Date.now() - at > cancelS * 1000)
        this.breaks('ran_cancelled', `${ticket} on ${[...on].join()}`);
    }
  }
}

/** A machine with its worker. */
export class Worker {
  shift = 1;
  tick = 0;
  token = 0;
  tasks = new Map();
  images = new Set();
  recallS = null;
  cut = false;
  stopped = false;
  answered = 0;
  /** Reports that could not be sent, because they would be longer than a request body may be. */
  unsentReports = 0;
  lastStatuses = [];
  nextNode = 0;
  changed = false;
  lastTokenChangeAt = 0;

  constructor(name, zone, type, spot, nodes, facts, history, record) {
    Object.assign(this, { name, zone, type, spot, nodes, facts, history, record });
    this.leaseFrom = Date.now();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async start() {
    const server = await listen((method, url, body) => this.onRequest(url, body));
    this.endpoint = server.address;
    this.closeServer = server.close;
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.report();
  }

  stop() {
    this.stopped = true;
    clearInterval(this.leaseTimer);
    for (const task of this.tasks.values()) this.drop(task);
    this.tasks.clear();
    this.closeServer?.();
    this.agent.destroy();
  }

  body() {
    this.tick += 1;
    return {
      rig: this.name,
      endpoint: this.endpoint,
      build: this.type.label,
      hall: this.zone,
      loaners: this.spot,
      shift: this.shift,
      tick: this.tick,
      baton: this.token,
      recallS: this.recallS,
      tickets: [...this.tasks.values()].map(({ ticket, attempt, standing, cause, saved }) => ({
        ticket,
        try: attempt,
        standing,
        cause,
        saved,
      })),
    };
  }

  async report() {
    let node = this.nextNode;
    while (!this.stopped) {
      const startedAt = Date.now();
      this.changed = false;
      let pauseMs = 1000;
      const report = this.body();
      // "The limit for request bodies is 64 KiB", "size limits are counted in that form" (JSON).
      const bytes = Buffer.byteLength(JSON.stringify(report));
      if (bytes > MAX_BODY_BYTES) {
        this.unsentReports += 1;
        this.record.line(
          `${this.name}: the report of ${report.tickets.length} tasks has ${bytes} bytes and cannot be sent`,
        );
      } else if (!this.cut) {
        const { shift } = this;
        const answer = await call(this.nodes[node].address, 'POST', '/hello', report, {
          timeoutMs: 4000,
          agent: this.agent,
        });
        if (this.stopped) return;
        this.noteStatus(answer.status, this.nodes[node].label);
        if (answer.status === 200 && !this.cut) {
          this.answered += 1;
          if (shift === this.shift && this.accepts(answer.body)) this.leaseFrom = startedAt;
          pauseMs = null;
        } else {
          const leader = this.nodes.findIndex(({ label }) => label === answer.body?.foreman);
          if (answer.status === 421 && leader >= 0 && leader !== node) {
            node = leader;
            pauseMs = Math.random() * 500;
          } else node = (node + 1) % this.nodes.length;
        }
      }
      if (pauseMs !== null) await sleep(pauseMs);
      else await this.untilNextReport(startedAt);
    }
  }

  noteStatus(status, label) {
    const text = `${label} answers ${status === 0 ? 'nothing' : status}`;
    if (text !== this.lastStatus) this.record.line(`${this.name}: report, ${text}`);
    this.lastStatus = text;
  }

  async untilNextReport(startedAt) {
    const intervalMs = this.facts.workers.report_s * 1000 * (0.75 + Math.random() / 2);
    for (;;) {
      const age = Date.now() - startedAt;
      if (this.stopped || age >= intervalMs || (this.changed && age >= 500)) return;
      await sleep(20);
    }
  }

  checkLease() {
    if (Date.now() - this.leaseFrom <= this.facts.workers.lease_s * 1000) return;
    const killed = [...this.tasks.values()].filter((task) => task.standing !== 'exited');
    this.record.line(
      `${this.name}: the lease of session ${this.shift} ends, ${killed.length} tasks are killed`,
    );
    this.onLeaseEnd?.(killed);
    for (const task of this.tasks.values()) this.drop(task);
    this.tasks.clear();
    this.shift += 1;
    this.leaseFrom = Date.now();
    this.changed = true;
  }

  /** Carries out a response or a direct command. Returns false if its token is lower or missing. */
  accepts({ baton, orders = [] }) {
    if (baton == null || baton < this.token) return false;
    if (baton > this.token) {
      this.token = baton;
      if (Date.now() - this.lastTokenChangeAt > this.facts.workers.lease_s * 500) {
        this.lastTokenChangeAt = Date.now();
        this.changed = true;
      }
    }
    for (const order of orders ?? []) this.execute(order);
    return true;
  }

  execute({ verb, ticket, try: attempt, windDownS = 0 }) {
    const key = `${ticket}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'run' && task === undefined) this.run(ticket, attempt, key);
    if (verb === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
    if (verb === 'halt' && task !== undefined) this.halt(task, windDownS);
  }

  halt(task, windDownS) {
    if (task.standing === 'exited' || (task.standing === 'saving' && windDownS > 0)) return;
    const { snapshotEveryS, snapshotS } = task.job;
    if (task.standing === 'running' && snapshotEveryS > 0 && windDownS >= snapshotS) {
      task.standing = 'saving';
      clearTimeout(task.timer);
      task.timer = setTimeout(() => this.exit(task, 'stopped', true), snapshotS * 1000);
      this.changed = true;
    } else this.exit(task, 'stopped');
  }

  run(ticket, attempt, key) {
    const job = this.history.jobs.get(ticket.slice(0, ticket.lastIndexOf('/')));
    const task = { ticket, attempt, standing: 'pulling', cause: null, saved: null, job, timer: null };
    this.tasks.set(key, task);
    this.changed = true;
    const held = [...this.tasks.values()].filter((other) => other !== task && other.standing !== 'exited');
    if (job === undefined) return this.exit(task, 'no_such');
    if (held.some((other) => other.ticket === ticket)) return this.exit(task, 'busy');
    for (const [amount, limit] of [
      ['vcpus', 'vcpus'],
      ['gpus', 'gpus'],
      ['memGb', 'memGb'],
    ]) {
      const used = held.reduce((sum, other) => sum + other.job[amount], 0);
      if (used + job[amount] > this.type[limit] + 1e-6) return this.exit(task, 'full');
    }
    const fetchMs = this.images.has(job.bundle) ? 0 : (job.pullGb / this.type.fetchGbPerS) * 1000;
    task.timer = setTimeout(() => this.hasImage(task), fetchMs);
  }

  hasImage(task) {
    this.images.add(task.job.bundle);
    task.entered = true;
    this.history.enters(task.ticket, this.name);
    this.changed = true;
    if (task.job.shape !== 'ensemble' || task.job.tickets === 1) return this.begin(task);
    task.standing = 'gathering';
    const key = `${task.job.ref}#${task.attempt}`;
    const gang = this.history.gangs.get(key) ?? new Map();
    this.history.gangs.set(key, gang);
    gang.set(task.ticket, () => this.begin(task));
    task.leaveGang = () => gang.delete(task.ticket);
    task.timer = setTimeout(() => this.exit(task, 'alone'), this.facts.workers.gang_wait_s * 1000);
    if (gang.size === task.job.tickets) for (const begin of gang.values()) begin();
  }

  begin(task) {
    clearTimeout(task.timer);
    task.standing = 'running';
    this.changed = true;
    if (this.history.completed.get(task.job.ref)?.has(task.ticket)) return this.exit(task, 'done');
    if (task.job.shape === 'service') return;
    task.timer = setTimeout(() => this.exit(task, task.job.fails ? 'error' : 'done'), task.job.runS * 1000);
  }

  exit(task, cause, saved = null) {
    if (task.standing === 'exited') return;
    this.drop(task);
    Object.assign(task, { standing: 'exited', cause, saved });
    if (cause === 'done') {
      const completed = this.history.completed.get(task.job.ref) ?? new Set();
      this.history.completed.set(task.job.ref, completed.add(task.ticket));
    }
    this.changed = true;
  }

  drop(task) {
    clearTimeout(task.timer);
    task.leaveGang?.();
    if (task.entered) this.history.leaves(task.ticket, this.name);
    task.entered = false;
  }

  async onRequest(url, body) {
    while (this.cut && !this.stopped) await sleep(100);
    if (this.stopped) return null;
    if (url.pathname === '/status') return { status: 200, body: this.body() };
    if (body.baton == null || body.shift == null) return { status: 400 };
    const fits = body.shift === this.shift && this.accepts(body);
    return { status: fits ? 200 : 409, body: this.body() };
  }
}

/** The cloud: one machine type, rented by zone. */
export class Cloud {
  machines = new Map();
  hires = new Map();
  counter = 0;
  past = [];
  /** True during an outage. */
  down = false;

  constructor(type, capacity, addMachine, lagS) {
    Object.assign(this, { type, capacity, addMachine, lagS });
  }

  async start() {
    const server = await listen((method, url, body) => this.answer(method, url, body));
    this.address = server.address;
    this.closeServer = server.close;
    this.timer = setInterval(() => this.remember(), 250);
  }

  close() {
    clearInterval(this.timer);
    for (const machine of this.machines.values()) machine.worker?.stop();
    this.closeServer?.();
  }

  remember() {
    this.past.push({ at: Date.now(), rigs: this.rigs() });
    while (this.past.length > 1 && Date.now() - this.past[1].at > this.lagS * 1000) this.past.shift();
  }

  rigs() {
    return [...this.machines.values()].map(({ ref, worker, zone, spot, rentedAt, diedAt }) => ({
      ref,
      endpoint: worker?.endpoint ?? '127.0.0.1:9',
      build: this.type.label,
      hall: zone,
      loaners: spot,
      standing: Date.now() - diedAt > 30_000 ? 'failed' : worker === null ? 'booting' : 'running',
      ageS: (Date.now() - rentedAt) / 1000,
    }));
  }

  async rent(zone, spot, bootMs) {
    const ref = `n-${String(++this.counter).padStart(6, '0')}`;
    const machine = { ref, zone, spot, worker: null, rentedAt: Date.now() };
    this.machines.set(ref, machine);
    const boot = async () => {
      if (this.machines.has(ref)) machine.worker = await this.addMachine(ref, zone, spot);
    };
    if (bootMs === 0) await boot();
    else setTimeout(boot, bootMs);
    return ref;
  }

  /** A machine stops with all that is on it. It stays listed as running for 30 s, then as failed until it is deleted. */
  die(ref) {
    const machine = this.machines.get(ref);
    machine.worker.stop();
    machine.diedAt = Date.now();
  }

  take(ref) {
    this.machines.get(ref)?.worker?.stop();
    this.machines.delete(ref);
  }

  async answer(method, url, body) {
    await sleep(20);
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/flavors') return { status: 200, body: { builds: [this.type] } };
    if (url.pathname === '/machines/return') {
      this.onReturn?.(body);
      for (const ref of body.rigs) this.take(ref);
      return { status: 200 };
    }
    if (method === 'GET') {
      const from = url.searchParams.get('from') ?? '';
      const page = Math.min(500, Number(url.searchParams.get('page') ?? 500));
      const rigs = (this.past[0]?.rigs ?? []).filter(({ ref }) => ref > from);
      return { status: 200, body: { rigs: rigs.slice(0, page), hasNext: rigs.length > page } };
    }
    this.onHire?.(body);
    if (this.hires.has(body.hire)) return { status: 200, body: { rigs: this.hires.get(body.hire) } };
    const inZone = [...this.machines.values()].filter(({ zone }) => zone === body.hall).length;
    const count = Math.min(body.number, this.capacity - inZone);
    if (count <= 0 || body.loaners) return { status: 503, body: { error: 'no capacity' } };
    const rigs = [];
    for (let n = 0; n < count; n++)
      rigs.push(await this.rent(body.hall, body.loaners, this.type.bootS * 1000));
    this.hires.set(body.hire, rigs);
    return { status: 200, body: { rigs } };
  }
}

/** The facts of a small deployment, as the pages give them for Tarjetas Quetzal. */
export const smallFacts = () => ({
  nodes: 3,
  zones: ['zona-ciudad', 'zona-antigua', 'zona-xela'],
  teams: [
    { name: 'contenido', cpus: 0, cpus_max: 0, gpus: 6, gpus_max: 18 },
    { name: 'contenido-2', cpus: 0, cpus_max: 0, gpus: 6, gpus_max: 18 },
  ],
  objectives: [],
  workers: { report_s: 1, lease_s: 11, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 31 },
  state: { rps: 60, write_rps: 15, value_kb: 4, txn_ops: 12 },
  cloud: { rps: 6, list_lag_s: 4 },
  limits: { core_share: 0.17, memory_mb: 146, max_sockets: 600 },
  skew_ms: 5,
});

export const smallType = () => ({
  label: 'caja-doce',
  vcpus: 12,
  gpus: 2,
  memGb: 72,
  localGb: 120,
  fetchGbPerS: 0.2,
  rate: 5.93,
  spotPrice: 2.1,
  bootS: 60,
  halls: ['zona-ciudad', 'zona-antigua', 'zona-xela'],
});

/** A job as users submit it. `runS` and `fails` are for the workers alone and are not sent. */
export const job = (number, overrides = {}) => ({
  ref: `req-${String(number).padStart(6, '0')}`,
  docket: 'voz-render',
  desk: 'contenido',
  shape: 'batch',
  precedence: 'normal',
  tickets: 1,
  vcpus: 1,
  gpus: 0,
  memGb: 1,
  bundle: 'img-01',
  pullGb: 0.2,
  builds: null,
  hall: null,
  oneZone: false,
  spread: false,
  loaners: false,
  expectedS: 5,
  snapshotEveryS: 0,
  snapshotS: 0,
  dueS: null,
  runS: 5,
  ...overrides,
});

/** A whole deployment: three controllers as processes, with stand-ins for everything else. */
export class Deployment {
  nodes = [];
  ended = [];
  workers = [];

  constructor(record, { facts = smallFacts(), type = smallType(), capacity = 4, state = null } = {}) {
    this.record = record;
    this.facts = facts;
    this.type = type;
    this.history = new History(record);
    this.state = state ?? new StateService(facts.state);
    this.cloud = new Cloud(
      type,
      capacity,
      (ref, zone, spot) => this.addWorker(ref, zone, spot),
      facts.cloud.list_lag_s,
    );
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  }

  async start(machinesPerZone = 1) {
    const ports = await freePorts(6);
    for (let n = 0; n < 3; n++)
      this.nodes.push({
        n,
        label: `hearth-${n}`,
        zone: this.facts.zones[n],
        address: `127.0.0.1:${ports[n]}`,
        internal: `127.0.0.1:${ports[n + 3]}`,
        process: null,
      });
    for (const { label } of this.nodes) await this.state.open(label);
    await this.cloud.start();
    for (const zone of this.facts.zones)
      for (let n = 0; n < machinesPerZone; n++) await this.cloud.rent(zone, false, 0);
    for (const node of this.nodes) this.launch(node.n);
  }

  /** Starts a controller with the command of the deploy file. */
  launch(n) {
    if (this.stopping) return;
    const node = this.nodes[n];
    const path = join(this.folder, `${node.label}.json`);
    const known = this.nodes
      .filter((other) => other !== node)
      .map((other) => ({ label: other.label, area: other.zone, endpoint: other.internal }));
    const settings = {
      label: node.label,
      area: node.zone,
      api_addr: node.address,
      internal_addr: node.internal,
      known,
      external: { cloud: this.cloud.address, state: this.state.addresses.get(node.label) },
      facts: this.facts,
    };
    writeFileSync(path, JSON.stringify(settings));
    const deploy = readFileSync(join(REPOSITORY, 'deploy/service.toml'), 'utf8');
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const child = spawn(program, [...words, path], { cwd: REPOSITORY, stdio: ['ignore', 'ignore', 'pipe'] });
    node.process = child;
    node.log = [];
    let rest = '';
    child.stderr.on('data', (data) => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) this.onLog(node, line);
    });
    child.on('exit', (code, signal) => {
      this.record.line(`${node.label}: process ended, code ${code}, signal ${signal}`);
      if (node.process === child) node.process = null;
      if (!child.wanted) this.ended.push(`${node.label} ended by itself: code ${code}, signal ${signal}`);
    });
    this.record.line(`${node.label}: process started`);
  }

  onLog(node, line) {
    node.log.push(line);
    try {
      const { msg, label, level, time, ...fields } = JSON.parse(line);
      if (level >= 40 || /leadership|lease expired|machine terminated|^zone/.test(msg))
        this.record.line(`${label}: log "${msg}" ${JSON.stringify(fields).slice(0, 200)}`);
    } catch {
      this.record.line(`${node.label}: ${line.slice(0, 200)}`);
    }
  }

  signal(n, name) {
    const child = this.nodes[n].process;
    if (child === null) return;
    if (name === 'SIGKILL') child.wanted = true;
    this.record.line(`${this.nodes[n].label}: ${name}`);
    child.kill(name);
  }

  /** The number of the controller that leads according to the state service, or null. */
  leader() {
    const label = this.state.items.get('main/part/all')?.value?.label;
    const n = this.nodes.findIndex((node) => node.label === label);
    return n < 0 ? null : n;
  }

  async addWorker(ref, zone, spot) {
    const worker = new Worker(ref, zone, this.type, spot, this.nodes, this.facts, this.history, this.record);
    worker.nextNode = this.workers.length % this.nodes.length;
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  /** Waits until a leader has answered every worker. */
  ready(limitMs = 30_000) {
    return until(
      () => this.leader() !== null && this.workers.every((worker) => worker.answered > 1),
      limitMs,
    );
  }

  /** A node that the load balancer would choose: one whose health check succeeds, or any. */
  async healthyNode() {
    const order = [...this.nodes].sort(() => Math.random() - 0.5);
    for (const node of order)
      if ((await call(node.address, 'GET', '/healthz', undefined, { timeoutMs: 1000 })).status === 200)
        return node;
    return order[0];
  }

  /** Submits a job as users do, with retries for 60 s. Returns the last status. */
  async submit(spec) {
    this.history.jobs.set(spec.ref, spec);
    const { runS, fails, ...body } = spec;
    const deadline = Date.now() + 60_000;
    for (;;) {
      const node = await this.healthyNode();
      const answer = await call(node.address, 'POST', '/work', body, { timeoutMs: 5000 });
      this.record.line(
        `POST /work ${spec.ref} at ${node.label}: ${answer.status} ${JSON.stringify(answer.body)}`,
      );
      if ([200, 201, 400, 422].includes(answer.status) || Date.now() > deadline) return answer.status;
      await sleep(1000);
    }
  }

  /** Polls a job once, as users do. */
  async poll(ref) {
    const node = await this.healthyNode();
    const answer = await call(node.address, 'GET', `/work/${ref}`);
    this.record.line(`GET /work/${ref} at ${node.label}: ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer;
  }

  /** Withdraws a job, with retries until it is answered. */
  async withdraw(ref, limitMs = 60_000) {
    const deadline = Date.now() + limitMs;
    for (;;) {
      const node = await this.healthyNode();
      const answer = await call(node.address, 'POST', `/work/${ref}/withdraw`, undefined, {
        timeoutMs: 5000,
      });
      this.record.line(
        `POST /work/${ref}/withdraw at ${node.label}: ${answer.status} ${JSON.stringify(answer.body)}`,
      );
      if (answer.status === 200) {
        if (answer.body.standing === 'cancelled') this.history.cancelledAt.set(ref, Date.now());
        return answer.body.standing;
      }
      if (answer.status === 404 || Date.now() > deadline) return null;
      await sleep(1000);
    }
  }

  /** Ends every process and server. */
  async stop() {
    this.stopping = true;
    for (const { process: child } of this.nodes) {
      if (child === null) continue;
      child.wanted = true;
      child.kill('SIGKILL');
    }
    await until(() => this.nodes.every((node) => node.process === null), 5000);
    for (const worker of this.workers) worker.stop();
    this.cloud.close();
    this.state.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: `play` returns a list of what broke the rule, or throws if the case could not run. Exits with 1, 0 or 2,
 * after at most 115 s.
 */
export async function runCase(folder, options, play) {
  const record = new Record(join(folder, 'record.txt'));
  const trouble = process.env.TROUBLE !== '0';
  record.line(`TROUBLE=${trouble ? 1 : 0}`);
  const deployment = new Deployment(record, options);
  let finishing = false;
  const finish = async (code, text) => {
    if (finishing) return new Promise(() => undefined);
    finishing = true;
    record.line(`result ${code}: ${text}`);
    console.log(`result ${code}: ${text}`);
    await deployment.stop().finally(() => process.exit(code));
  };
  setTimeout(() => void finish(2, 'not finished in time'), 113_000);
  for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(name, () => void finish(2, name));
  for (const name of ['uncaughtException', 'unhandledRejection'])
    process.on(name, (error) => void finish(2, `${name}: ${error?.stack ?? error}`));
  try {
    const broken = await play(deployment, trouble, record);
    await finish(broken.length > 0 ? 1 : 0, broken.length > 0 ? broken.join('; ') : 'the rule held');
  } catch (error) {
    await finish(2, error.stack ?? String(error));
  }
}
