/**
 * @file Stand-ins for the state service, the cloud and the workers, a proxy for the connections of one worker, and
 * helpers that start the project's own controllers and act as users. All of them follow the users' pages; what a case
 * disturbs is switched on by the case itself.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  openSync,
  closeSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { Encoder } from 'cbor-x';

export { sleep };

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});
export const encode = (value) => codec.encode(value);
export const decode = (bytes) => (bytes.length === 0 ? null : codec.decode(bytes));

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const startedAt = process.hrtime.bigint();
/** Seconds since the start of the case. */
export const clock = () => Number(process.hrtime.bigint() - startedAt) / 1e9;

/** The record of a case: one line for each event, also printed. */
export class Recorder {
  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }

  write(text) {
    const line = `${clock().toFixed(3).padStart(8)}  ${text}`;
    appendFileSync(this.path, `${line}\n`);
    process.stdout.write(`${line}\n`);
  }
}

/** Listens on a free loopback port with CBOR bodies. `handle(method, url, body)` returns `[status, body]`. */
export async function serve(handle) {
  const server = http.createServer(async (request, response) => {
    const parts = [];
    for await (const part of request) parts.push(part);
    const url = new URL(request.url, 'http://stand-in');
    let body;
    try {
      body = decode(Buffer.concat(parts));
    } catch {
      body = undefined;
    }
    const reply = await handle(request.method, url, body, request);
    if (reply === null) return;
    const bytes = encode(reply[1]);
    response.writeHead(reply[0], { 'content-type': 'application/cbor', 'content-length': bytes.length });
    response.end(bytes);
  });
  server.keepAliveTimeout = 120_000;
  server.on('clientError', (_error, socket) => socket.destroy());
  await new Promise((done) => server.listen(0, '127.0.0.1', done));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Sends one request. Resolves to `{ status, body, headers }`, or to null if there is no response in time. */
export function call(address, method, path, body, { timeoutMs = 5000, agent = false } = {}) {
  return new Promise((done) => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? null : Buffer.isBuffer(body) ? body : encode(body);
    const headers =
      bytes === null ? {} : { 'content-type': 'application/cbor', 'content-length': bytes.length };
    const request = http.request({ host, port, method, path, headers, agent }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', () => finish(null));
      response.on('end', () => {
        let decoded = null;
        try {
          decoded = decode(Buffer.concat(parts));
        } catch {
          return finish(null);
        }
        finish({ status: response.statusCode, body: decoded, headers: response.headers });
      });
    });
    const timer = setTimeout(() => {
      finish(null);
      request.destroy();
    }, timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      done(result);
    };
    request.on('error', () => finish(null));
    if (bytes !== null) request.write(bytes);
    request.end();
  });
}

/** The state service: guards, leases, watches and limits as the protocol page has them. */
export class StateService {
  constructor({ txnOps, valueKb }) {
    this.limits = { txnOps, valueBytes: valueKb * 1024 };
    this.items = new Map();
    this.leases = new Map();
    this.changes = [];
    this.watchers = new Set();
    this.refusals = new Map();
    this.revision = 0;
    this.nextLease = 1;
  }

  async start() {
    const server = await serve((method, url, body) => this.answer(method, url, body));
    this.address = server.address;
    this.close = () => {
      for (const lease of this.leases.values()) clearTimeout(lease.timer);
      server.close();
    };
  }

  answer(method, url, body) {
    const { pathname, searchParams } = url;
    if (pathname === '/follow') return this.watch(searchParams);
    if (pathname === '/commit') return this.commit(body);
    if (pathname === '/store') return this.list(searchParams);
    if (pathname.startsWith('/store/')) return this.read(pathname.slice('/store/'.length));
    if (pathname === '/holds' && method === 'POST') return this.grant(body.ttlMs);
    const lease = /^\/holds\/(\d+)(\/touch)?$/.exec(pathname);
    if (lease === null) return [400, { error: 'malformed' }];
    const id = Number(lease[1]);
    if (lease[2] !== undefined) return this.touch(id);
    this.endLease(id);
    return [200, {}];
  }

  commit({ guards = [], writes = [] }) {
    const size = JSON.stringify({ guards, writes }).length;
    const tooLarge = writes.some(
      ({ value }) => JSON.stringify(value ?? null).length > this.limits.valueBytes,
    );
    if (
      writes.length > this.limits.txnOps ||
      guards.length > this.limits.txnOps * 4 ||
      size > 64 * 1024 ||
      tooLarge
    )
      return this.overLimit(writes);
    const failed = guards
      .filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (writes.some(({ permit }) => permit !== undefined && permit !== null && !this.leases.has(permit)))
      return [400, { error: 'no such lease' }];
    if (writes.length > 0) {
      this.revision += 1;
      for (const write of writes) this.apply(write);
      this.notify();
    }
    return [200, { ledgerRev: this.revision }];
  }

  /** Refuses a transaction over a limit. `refusals` counts them by the keys that they write. */
  overLimit(writes) {
    const keys = writes.map(({ write, delete: deleted }) => write ?? deleted).join(' ');
    this.refusals.set(keys, (this.refusals.get(keys) ?? 0) + 1);
    return [400, { error: 'over a limit' }];
  }

  apply({ write, value, permit, delete: deleted }) {
    const stamp = this.revision;
    if (write === undefined) {
      this.items.delete(deleted);
      this.changes.push({ delete: deleted, stamp });
    } else {
      this.items.set(write, { value, stamp, permit: permit ?? null });
      this.changes.push({ write, value, stamp });
    }
  }

  notify() {
    for (const wake of [...this.watchers]) wake();
  }

  read(key) {
    const item = this.items.get(key);
    if (item === undefined) return [404, { ledgerRev: this.revision }];
    return [200, { key, value: item.value, stamp: item.stamp, permit: item.permit }];
  }

  list(params) {
    const under = params.get('under') ?? '';
    const from = params.get('from') ?? '';
    const page = Math.min(1000, Number(params.get('page') ?? 1000));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const items = keys.slice(0, page).map((key) => ({
      key,
      value: this.items.get(key).value,
      stamp: this.items.get(key).stamp,
    }));
    return [200, { items, hasNext: keys.length > page, ledgerRev: this.revision }];
  }

  grant(ttlMs) {
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    return [200, { permit: id }];
  }

  touch(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return [200, {}];
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.permit === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision += 1;
    for (const key of keys) this.apply({ delete: key });
    this.notify();
  }

  async watch(params) {
    const under = params.get('under') ?? '';
    const from = Number(params.get('from') ?? 0);
    const holdMs = Math.min(60_000, Number(params.get('holdMs') ?? 0));
    const news = () =>
      this.changes.filter(({ stamp, ...c }) => stamp > from && (c.write ?? c.delete).startsWith(under));
    if (news().length === 0 && holdMs > 0)
      await new Promise((done) => {
        const wake = () => {
          if (news().length === 0) return;
          clearTimeout(timer);
          this.watchers.delete(wake);
          done();
        };
        const timer = setTimeout(() => {
          this.watchers.delete(wake);
          done();
        }, holdMs);
        timer.unref();
        this.watchers.add(wake);
      });
    return [200, { ledgerRev: this.revision, news: news() }];
  }
}

/** The cloud: lists the workers' machines, returns machines, and has no further capacity. */
export class Cloud {
  constructor(builds, record) {
    this.builds = builds;
    this.record = record;
    this.workers = [];
  }

  async start() {
    const server = await serve((method, url, body) => this.answer(method, url, body));
    this.address = server.address;
    this.close = server.close;
  }

  answer(method, url, body) {
    if (url.pathname === '/flavors') return [200, { builds: this.builds }];
    if (url.pathname === '/machines/return') {
      this.record.write(`cloud: return ${body.rigs.join(' ')}`);
      for (const worker of this.workers) if (body.rigs.includes(worker.name)) worker.stop('returned');
      this.workers = this.workers.filter(({ name }) => !body.rigs.includes(name));
      return [200, {}];
    }
    if (method === 'POST') return [503, { error: 'no capacity' }];
    const from = url.searchParams.get('from') ?? '';
    const page = Number(url.searchParams.get('page') ?? 500);
    const all = this.workers.filter(({ name }) => name > from).sort((a, b) => (a.name < b.name ? -1 : 1));
    const rigs = all.slice(0, page).map((worker) => ({
      ref: worker.name,
      endpoint: worker.address,
      build: worker.build.label,
      hall: worker.hall,
      loaners: worker.loaners,
      standing: 'running',
      ageS: 120 + clock(),
    }));
    return [200, { rigs, hasNext: all.length > page }];
  }
}

/**
 * What the workers of a deployment share: the jobs that users uploaded, how long each task runs, and which tasks are on
 * which machine. A task is on its machine from the moment it has its image until it exits or is killed.
 */
export class Site {
  constructor(facts, record) {
    this.facts = facts;
    this.record = record;
    this.jobs = new Map();
    this.runSeconds = new Map();
    /** Jobs that were submitted with a mistake: their tasks fail on every machine. */
    this.broken = new Set();
    this.workers = [];
    /** Names of the machines that each task is on. */
    this.onMachine = new Map();
    this.violations = [];
    this.listeners = [];
  }

  violate(rule, text) {
    this.violations.push(`${rule}: ${text}`);
    this.record.write(`RULE BROKEN ${rule}: ${text}`);
  }

  enter(worker, task) {
    const machines = this.onMachine.get(task.ticket) ?? new Set();
    this.record.write(`task ${task.ticket} try ${task.try} is on ${worker.name} (${task.standing})`);
    for (const other of machines)
      if (other !== worker.name)
        this.violate('ran_twice', `${task.ticket} starts on ${worker.name} while it is on ${other}`);
    machines.add(worker.name);
    this.onMachine.set(task.ticket, machines);
    for (const listener of this.listeners) listener('on', worker, task);
  }

  leave(worker, task, why) {
    if (this.onMachine.get(task.ticket)?.delete(worker.name))
      this.record.write(`task ${task.ticket} try ${task.try} left ${worker.name} (${why})`);
    for (const listener of this.listeners) listener('off', worker, task);
  }

  /** Starts a gang once all of its tasks of one attempt have their image. */
  gather(job, attempt) {
    const members = [];
    for (const worker of this.workers)
      for (const task of worker.tasks.values())
        if (task.job === job && task.try === attempt && task.standing === 'gathering')
          members.push({ worker, task });
    if (new Set(members.map(({ task }) => task.ticket)).size < job.tickets) return;
    for (const { worker, task } of members) worker.run(task);
  }

  /** The other tasks of a running gang notice within `gang_peer_s` that one is gone. */
  peerLost(job, attempt, cause) {
    const exit = (reason) => {
      for (const worker of this.workers)
        for (const task of worker.tasks.values())
          if (task.job === job && task.try === attempt && task.standing === 'running')
            worker.exit(task, reason);
    };
    if (cause === 'done') exit('done');
    else setTimeout(() => exit('peers'), this.facts.workers.gang_peer_s * 500).unref();
  }
}

/** One machine with its worker. `nodes` are `{ label, address }` of the controllers, or of proxies before them. */
export class Worker {
  constructor(site, { name, build, hall, loaners = false, nodes }) {
    Object.assign(this, { site, name, build, hall, loaners, nodes });
    this.tasks = new Map();
    this.cached = new Set();
    this.pulls = new Map();
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.recallS = null;
    this.nodeIndex = 0;
    this.stopped = false;
    this.changed = null;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    site.workers.push(this);
  }

  async start() {
    const server = await serve((_method, url, body) => this.answer(url, body));
    this.address = server.address;
    this.closeServer = server.close;
    this.lastAnsweredSent = clock();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.reportLoop();
  }

  stop(why = 'stopped') {
    this.stopped = true;
    clearInterval(this.leaseTimer);
    this.closeServer();
    this.agent.destroy();
    for (const task of this.tasks.values()) this.forgetTask(task, why);
    this.tasks.clear();
    this.changed?.();
  }

  notifyChange() {
    this.hasChange = true;
    this.changed?.();
  }

  report() {
    this.tick += 1;
    return {
      rig: this.name,
      endpoint: this.address,
      build: this.build.label,
      hall: this.hall,
      loaners: this.loaners,
      shift: this.shift,
      tick: this.tick,
      baton: this.baton,
      recallS: this.recallS === null ? null : Math.max(0, this.recallS - clock()),
      tickets: [...this.tasks.values()].map(({ ticket, try: attempt, standing, cause, saved }) => {
        const entry = { ticket, try: attempt, standing };
        if (cause !== undefined) entry.cause = cause;
        if (saved === true) entry.saved = true;
        return entry;
      }),
    };
  }

  async reportLoop() {
    const { report_s: interval } = this.site.facts.workers;
    while (!this.stopped) {
      const sentAt = clock();
      const shift = this.shift;
      this.hasChange = false;
      const node = this.nodes[this.nodeIndex];
      const response = await call(node.address, 'POST', '/hello', this.report(), {
        timeoutMs: 4000,
        agent: this.agent,
      });
      if (this.stopped) return;
      if (response === null || response.status !== 200) {
        await this.changeNode(response);
        continue;
      }
      const answer = response.body;
      if (shift === this.shift && Number.isInteger(answer.baton) && answer.baton >= this.baton) {
        this.lastAnsweredSent = sentAt;
        this.execute(answer);
      }
      const due = sentAt + interval * (0.75 + Math.random() / 2);
      await this.waitUntil(due, sentAt + 0.5);
    }
  }

  async changeNode(response) {
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const foreman = response?.status === 421 ? response.body?.foreman : undefined;
    const index = this.nodes.findIndex(({ label }) => label === foreman);
    if (index >= 0 && index !== this.nodeIndex) {
      this.nodeIndex = index;
      await sleep(Math.random() * 500);
      return;
    }
    this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
    await sleep(1000);
  }

  /** Waits until `due`, or until there is a change and `earliest` has passed. */
  async waitUntil(due, earliest) {
    while (!this.stopped) {
      const now = clock();
      const target = this.hasChange ? Math.min(due, earliest) : due;
      if (now >= target) return;
      await new Promise((done) => {
        const timer = setTimeout(done, Math.max(1, (target - now) * 1000));
        this.changed = () => {
          clearTimeout(timer);
          done();
        };
      });
      this.changed = null;
    }
  }

  answer(url, body) {
    if (url.pathname === '/status') return [200, this.report()];
    if (body?.baton === undefined || body?.shift === undefined) return [400, {}];
    if (body.baton < this.baton || body.shift !== this.shift) return [409, this.report()];
    this.execute(body);
    return [200, this.report()];
  }

  execute({ baton, orders = [] }) {
    if (baton > this.baton) {
      this.baton = baton;
      if (clock() - (this.batonReportedAt ?? -Infinity) > this.site.facts.workers.lease_s / 2) {
        this.batonReportedAt = clock();
        this.notifyChange();
      }
    }
    for (const order of orders) this.order(order);
  }

  order({ verb, ticket, try: attempt, windDownS = 0 }) {
    const key = `${ticket}#${attempt}`;
    const task = this.tasks.get(key);
    this.site.record.write(`${this.name} executes ${verb} ${ticket} try ${attempt}`);
    if (verb === 'run' && task === undefined) this.begin(key, ticket, attempt);
    else if (verb === 'halt' && task !== undefined && task.standing !== 'exited') this.halt(task, windDownS);
    else if (verb === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
  }

  begin(key, ticket, attempt) {
    const job = this.site.jobs.get(ticket.slice(0, ticket.lastIndexOf('/')));
    const task = { ticket, try: attempt, job, standing: 'pulling' };
    const active = [...this.tasks.values()].filter(({ standing }) => standing !== 'exited');
    this.tasks.set(key, task);
    if (job === undefined) return this.exit(task, 'no_such');
    if (active.some((other) => other.ticket === ticket)) return this.exit(task, 'busy');
    const used = (field) => active.reduce((sum, other) => sum + other.job[field], job[field]);
    const { vcpus, gpus, memGb } = this.build;
    if (used('vcpus') > vcpus + 1e-9 || used('gpus') > gpus + 1e-9 || used('memGb') > memGb + 1e-9)
      return this.exit(task, 'full');
    this.notifyChange();
    this.pull(task);
  }

  pull(task) {
    const { bundle, pullGb } = task.job;
    if (this.cached.has(bundle)) return this.ready(task);
    const pull = this.pulls.get(bundle);
    if (pull !== undefined) return pull.waiting.add(task);
    const waiting = new Set([task]);
    const timer = setTimeout(
      () => {
        this.pulls.delete(bundle);
        this.cached.add(bundle);
        for (const each of waiting) this.ready(each);
      },
      (pullGb / this.build.fetchGbPerS) * 1000,
    );
    this.pulls.set(bundle, { waiting, timer });
  }

  ready(task) {
    if (task.standing !== 'pulling' || this.stopped) return;
    if (task.job.shape !== 'ensemble') return this.run(task);
    task.standing = 'gathering';
    this.notifyChange();
    this.site.enter(this, task);
    task.timer = setTimeout(() => {
      if (task.standing === 'gathering') this.exit(task, 'alone');
    }, this.site.facts.workers.gang_wait_s * 1000);
    this.site.gather(task.job, task.try);
  }

  run(task) {
    const entered = task.standing === 'gathering';
    clearTimeout(task.timer);
    task.standing = 'running';
    this.notifyChange();
    if (!entered) this.site.enter(this, task);
    const seconds = this.site.runSeconds.get(task.job.ref) ?? null;
    const cause = this.site.broken.has(task.job.ref) ? 'error' : 'done';
    if (seconds !== null)
      task.timer = setTimeout(() => {
        if (task.standing === 'running') this.exit(task, cause);
      }, seconds * 1000);
  }

  /** Completes a running task whose run time the case decides. */
  complete(ticket) {
    for (const task of this.tasks.values())
      if (task.ticket === ticket && task.standing === 'running') this.exit(task, 'done');
  }

  halt(task, windDownS) {
    const { snapshotEveryS, snapshotS } = task.job;
    if (task.standing === 'saving' && windDownS > 0) return;
    if (task.standing !== 'running' || snapshotEveryS === 0 || windDownS < snapshotS)
      return this.exit(task, 'stopped');
    clearTimeout(task.timer);
    task.standing = 'saving';
    this.notifyChange();
    task.timer = setTimeout(() => {
      task.saved = true;
      this.exit(task, 'stopped');
    }, snapshotS * 1000);
  }

  exit(task, cause) {
    if (task.standing === 'exited') return;
    clearTimeout(task.timer);
    const { standing } = task;
    task.standing = 'exited';
    task.cause = cause;
    this.dropPull(task);
    this.notifyChange();
    if (standing !== 'pulling') this.site.leave(this, task, cause);
    if (standing === 'running' && task.job.shape === 'ensemble')
      this.site.peerLost(task.job, task.try, cause);
  }

  /** Gives a fetch up when no task waits for it any more. */
  dropPull(task) {
    const pull = task.job === undefined ? undefined : this.pulls.get(task.job.bundle);
    if (pull === undefined || !pull.waiting.delete(task) || pull.waiting.size > 0) return;
    clearTimeout(pull.timer);
    this.pulls.delete(task.job.bundle);
  }

  forgetTask(task, why) {
    const wasOn = task.standing !== 'pulling' && task.standing !== 'exited';
    clearTimeout(task.timer);
    this.dropPull(task);
    task.standing = 'exited';
    if (wasOn) this.site.leave(this, task, why);
  }

  checkLease() {
    if (clock() - this.lastAnsweredSent <= this.site.facts.workers.lease_s) return;
    this.site.record.write(`${this.name}: lease over, session ${this.shift} ends, ${this.tasks.size} tasks`);
    for (const task of this.tasks.values()) this.forgetTask(task, 'lease over');
    this.tasks.clear();
    this.shift += 1;
    this.lastAnsweredSent = clock();
    this.notifyChange();
  }
}

/**
 * A proxy between one worker and one controller. It forwards all bytes at once, except that `holdAnswer(body)` may hold
 * an answer to the worker up for a number of milliseconds; later bytes of the connection wait behind it.
 */
export async function startProxy(target, holdAnswer = () => 0) {
  const sockets = new Set();
  const server = net.createServer((client) => {
    const [host, port] = target.split(':');
    const upstream = net.connect(Number(port), host);
    let queue = Promise.resolve();
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        (socket === client ? upstream : client).destroy();
      });
    }
    client.on('data', (data) => upstream.write(data));
    upstream.on('data', (data) => {
      queue = queue.then(async () => {
        const holdMs = holdAnswer(answerBody(data));
        if (holdMs > 0) await sleep(holdMs);
        if (!client.destroyed) client.write(data);
      });
    });
  });
  await new Promise((done) => server.listen(0, '127.0.0.1', done));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** The decoded body of a response that came in one piece, otherwise null. */
function answerBody(data) {
  const headEnd = data.indexOf('\r\n\r\n');
  try {
    return headEnd < 0 ? null : decode(data.subarray(headEnd + 4));
  } catch {
    return null;
  }
}

async function freePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = net.createServer();
    await new Promise((done) => server.listen(0, '127.0.0.1', done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The controllers of a deployment, started with the command of the deploy file. */
export class Controllers {
  constructor(record, facts, external) {
    Object.assign(this, { record, facts, external });
    this.folder = mkdtempSync(join(tmpdir(), 'pumiceroad-review-'));
    this.nodes = [];
  }

  async prepare() {
    const ports = await freePorts(6);
    this.nodes = this.facts.zones.map((area, i) => ({
      label: `hearth-${i}`,
      area,
      address: `127.0.0.1:${ports[2 * i]}`,
      internal: `127.0.0.1:${ports[2 * i + 1]}`,
      process: null,
    }));
    for (const node of this.nodes) {
      node.settings = join(this.folder, `${node.label}.json`);
      const known = this.nodes
        .filter((other) => other !== node)
        .map(({ label, area, internal }) => ({ label, area, endpoint: internal }));
      const settings = {
        label: node.label,
        area: node.area,
        api_addr: node.address,
        internal_addr: node.internal,
        known,
        external: this.external,
        facts: this.facts,
      };
      writeFileSync(node.settings, JSON.stringify(settings));
    }
  }

  startAll(options) {
    for (const node of this.nodes) this.start(node, options);
  }

  /** Starts a node with the command of the deploy file, or `command` in the folder `cwd`. */
  start(node, { cwd = ROOT, command } = {}) {
    if (this.ending) return;
    const deployFile = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
    const [program, ...args] = (command ?? /^run = "(.*)"$/m.exec(deployFile)[1]).split(' ');
    const log = openSync(join(this.folder, `${node.label}.log`), 'a');
    node.process = spawn(program, [...args, node.settings], { cwd, stdio: ['ignore', log, log] });
    closeSync(log);
    const child = node.process;
    this.record.write(`${node.label} starts`);
    child.on('exit', (code, signal) => {
      if (node.process !== child) return;
      node.process = null;
      if (!this.ending) this.record.write(`${node.label} ended (${code ?? signal})`);
    });
  }

  kill(node) {
    this.record.write(`${node.label} is killed`);
    node.process?.kill('SIGKILL');
  }

  async ready(timeoutS = 30) {
    const deadline = clock() + timeoutS;
    while (clock() < deadline) {
      const healths = await Promise.all(
        this.nodes.map(({ address }) => call(address, 'GET', '/healthz', undefined, { timeoutMs: 1000 })),
      );
      if (healths.some((health) => health?.status === 200)) return;
      await sleep(200);
    }
    throw new Error('no controller became healthy');
  }

  /** Ends a node's process and waits for that. */
  async end(node) {
    this.kill(node);
    while (node.process !== null) await sleep(10);
  }

  /** Waits until a node answers health checks, whatever the answer. */
  async answers(node, timeoutS = 20) {
    const deadline = clock() + timeoutS;
    while ((await call(node.address, 'GET', '/healthz', undefined, { timeoutMs: 1000 })) === null) {
      if (clock() > deadline) throw new Error(`${node.label} does not answer`);
      await sleep(100);
    }
  }

  /** The log lines of a node; only for finding out why a case could not run. */
  log(node) {
    return readFileSync(join(this.folder, `${node.label}.log`), 'utf8');
  }

  /** Ends all processes, waits until they are gone and removes the temporary folder. */
  async stop() {
    this.ending = true;
    const children = this.nodes.map((node) => node.process).filter((child) => child !== null);
    const gone = children.map((child) => new Promise((done) => child.once('exit', done)));
    for (const child of children) child.kill('SIGKILL');
    await Promise.race([Promise.all(gone), sleep(3000)]);
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.folder}\n`);
  }
}

/** A user behind the load balancer: sends each request to a healthy node and repeats it as the page says. */
export class User {
  constructor(record, controllers, site) {
    Object.assign(this, { record, controllers, site });
    this.turn = 0;
  }

  async healthyNode() {
    const { nodes } = this.controllers;
    for (let i = 0; i < nodes.length; i++) {
      const node = nodes[this.turn++ % nodes.length];
      const health = await call(node.address, 'GET', '/healthz', undefined, { timeoutMs: 1000 });
      if (health?.status === 200) return node;
    }
    return nodes[this.turn++ % nodes.length];
  }

  async request(method, path, body, isFinal, forS = 60) {
    const deadline = clock() + forS;
    for (;;) {
      const node = await this.healthyNode();
      const response = await call(node.address, method, path, body, { timeoutMs: 5000 });
      const shown = response === null ? 'no response' : `${response.status} ${JSON.stringify(response.body)}`;
      this.record.write(`user: ${method} ${path} ${body?.ref ?? ''} at ${node.label}: ${shown}`);
      if (response !== null && isFinal(response.status)) return response;
      if (clock() > deadline) return response;
      await sleep(1000 * Math.max(1, Number(response?.headers['retry-after'] ?? 1)));
    }
  }

  /** Uploads the job for the workers and submits it. `runS` is how long its tasks run; null for ever. */
  async submit(job, runS) {
    this.site.jobs.set(job.ref, job);
    this.site.runSeconds.set(job.ref, runS);
    return this.request('POST', '/work', job, (status) => [200, 201, 400, 422].includes(status));
  }

  withdraw(ref) {
    return this.request('POST', `/work/${ref}/withdraw`, {}, (status) => status === 200);
  }

  poll(ref) {
    return this.request('GET', `/work/${ref}`, undefined, () => true);
  }

  async pollUntil(ref, standing, timeoutS) {
    const deadline = clock() + timeoutS;
    while (clock() < deadline) {
      const response = await this.poll(ref);
      if (response?.body?.standing === standing) return;
      await sleep(300);
    }
    throw new Error(`${ref} is not ${standing} in time`);
  }
}

/** Waits until a condition holds; throws after `timeoutS`. */
export async function waitFor(what, condition, timeoutS) {
  const deadline = clock() + timeoutS;
  while (!condition()) {
    if (clock() > deadline) throw new Error(`not in time: ${what}`);
    await sleep(20);
  }
}

/** A submission with the fields of the protocol page. */
export const jobOf = (ref, fields) => ({
  ref,
  docket: 'urgente-train',
  desk: 'contenido',
  shape: 'batch',
  precedence: 'normal',
  tickets: 1,
  vcpus: 10.5,
  gpus: 2,
  memGb: 58.5,
  bundle: 'img-07',
  pullGb: 3,
  builds: null,
  hall: null,
  oneZone: false,
  spread: false,
  loaners: false,
  expectedS: 90.5,
  snapshotEveryS: 0,
  snapshotS: 0,
  dueS: null,
  ...fields,
});

/** The machine type and the facts of the Quetzal deployment (`kit/sites/quetzal-cardgen.toml`). */
export const QUETZAL_BUILD = {
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
};
export const QUETZAL_FACTS = {
  nodes: 3,
  zones: ['zona-ciudad', 'zona-antigua', 'zona-xela'],
  teams: [{ name: 'contenido', cpus: 0, cpus_max: 0, gpus: 6, gpus_max: 18 }],
  objectives: [],
  workers: { report_s: 1, lease_s: 11, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 31 },
  state: { rps: 60, write_rps: 15, value_kb: 4, txn_ops: 12 },
  cloud: { rps: 6, list_lag_s: 4 },
  limits: { core_share: 0.17, memory_mb: 146, max_sockets: 600 },
  skew_ms: 5,
};

/**
 * Runs a case: `play(context)` returns nothing, and `site.violations` decides. Ends everything that was started, and the
 * process with 1 (a rule was broken), 0 (the rules held) or 2 (the case could not run).
 */
export async function runCase(folder, facts, builds, play) {
  const record = new Recorder(join(folder, 'record.txt'));
  const trouble = process.env.TROUBLE !== '0';
  record.write(`TROUBLE=${trouble ? 1 : 0}`);
  const site = new Site(facts, record);
  const closers = [];
  let controllers = null;
  let ending = false;
  const finish = async (exitCode) => {
    if (ending) return;
    ending = true;
    await controllers?.stop();
    for (const worker of site.workers)
      if (!worker.stopped && worker.closeServer) worker.stop('end of the case');
    for (const close of closers) close();
    record.write(`exit ${exitCode}`);
    process.exit(exitCode);
  };
  /** An error of the script is never a broken rule; a rule that was seen broken before it stays one. */
  const giveUp = (text) => {
    if (ending) return;
    record.write(`could not run: ${text}`);
    void finish(site.violations.length > 0 ? 1 : 2);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => giveUp(signal));
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => giveUp(error?.stack ?? String(error)));
  setTimeout(() => giveUp('over 117 seconds'), 117_000).unref();
  try {
    const state = new StateService({ txnOps: facts.state.txn_ops, valueKb: facts.state.value_kb });
    const cloud = new Cloud(builds, record);
    await state.start();
    await cloud.start();
    controllers = new Controllers(record, facts, { cloud: cloud.address, state: state.address });
    await controllers.prepare();
    const user = new User(record, controllers, site);
    await play({ record, trouble, site, state, cloud, controllers, user, closers });
    await finish(site.violations.length > 0 ? 1 : 0);
  } catch (error) {
    giveUp(error.stack);
  }
}
