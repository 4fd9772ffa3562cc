// Stand-ins for the outside systems, for the build alone: a state service, a cloud and one worker, just enough of each
// for the program to lead, place, run and finish a few jobs while the engine compiles what that takes.
import { Agent, createServer, request } from 'node:http';
import { Encoder } from 'cbor-x';

const coder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

/** Serves CBOR on a free port of the loopback address. */
export function serve(answer) {
  return new Promise((resolve) => {
    const server = createServer((req, res) => {
      const parts = [];
      req.on('data', (part) => parts.push(part));
      req.on('end', async () => {
        const raw = Buffer.concat(parts);
        const url = new URL(req.url, 'http://localhost');
        const [status, body] = await answer(req.method, url, raw.length > 0 ? coder.decode(raw) : null);
        const payload = coder.encode(body);
        res.writeHead(status, { 'content-type': 'application/cbor', 'content-length': payload.length });
        res.end(payload);
      });
    });
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });
}

/** Sends one request; null if nobody answered. */
export function ask(address, method, path, body, agent = false) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const payload = body === undefined ? null : coder.encode(body);
    const headers = payload === null ? {} : { 'content-length': payload.length };
    const req = request({ host, port, method, path, agent, headers }, (res) => {
      const parts = [];
      res.on('data', (part) => parts.push(part));
      res.on('end', () => {
        const raw = Buffer.concat(parts);
        resolve({ status: res.statusCode, body: raw.length > 0 ? coder.decode(raw) : null });
      });
    });
    req.on('error', () => resolve(null));
    if (payload !== null) req.write(payload);
    req.end();
  });
}

/** A state service whose guards always hold. */
export function stateService() {
  const items = new Map();
  const waiting = new Set();
  let revision = 1;
  const newsAfter = (from) =>
    [...items].filter(([, item]) => item.stamp > from).map(([key, item]) => ({ write: key, ...item }));
  const follow = async (url) => {
    const from = Number(url.searchParams.get('from'));
    if (newsAfter(from).length === 0)
      await new Promise((resolve) => {
        waiting.add(resolve);
        setTimeout(resolve, 1000).unref();
      });
    return [200, { ledgerRev: revision, news: newsAfter(from) }];
  };
  return serve((_method, url, body) => {
    if (url.pathname === '/follow') return follow(url);
    if (url.pathname === '/store') return [200, { items: [], hasNext: false, ledgerRev: revision }];
    if (url.pathname === '/holds') return [200, { permit: 1 }];
    if (url.pathname !== '/commit') return [200, {}];
    if (body.writes.length > 0) revision += 1;
    for (const write of body.writes)
      if (write.write) items.set(write.write, { value: write.value, stamp: revision });
    for (const wake of waiting) wake();
    waiting.clear();
    return [200, { ledgerRev: revision }];
  });
}

const TYPE = {
  label: 'rehearsal',
  vcpus: 32,
  gpus: 8,
  memGb: 256,
  localGb: 100,
  fetchGbPerS: 1,
  rate: 1,
  spotPrice: 1,
  bootS: 30,
  halls: ['a'],
};

/** A cloud with one machine and no capacity for more. */
export function cloud(machine) {
  return serve((_method, url) => {
    if (url.pathname === '/flavors') return [200, { builds: [TYPE] }];
    if (url.pathname !== '/machines/return' && _method === 'POST') return [503, { error: 'no capacity' }];
    const listed = {
      ref: machine.name,
      endpoint: machine.address,
      build: TYPE.label,
      hall: 'a',
      loaners: false,
      standing: 'running',
      ageS: 100,
    };
    return [200, { rigs: [listed], hasNext: false }];
  });
}

/** A worker that runs each task for a moment, and reports all the while until it is stopped. */
export class Worker {
  name = 'n-000001';
  tick = 0;
  token = 0;
  held = new Map();
  stopped = false;

  async start(controller) {
    this.address = await serve((_method, _url, body) => {
      this.take(body);
      return [200, this.report()];
    });
    this.loop(controller);
  }

  report() {
    this.tick += 1;
    return {
      rig: this.name,
      endpoint: this.address,
      build: TYPE.label,
      hall: 'a',
      loaners: false,
      shift: 1,
      tick: this.tick,
      baton: this.token,
      recallS: null,
      tickets: [...this.held.values()],
    };
  }

  take(answer) {
    this.token = Math.max(this.token, answer.baton ?? 0);
    for (const { verb, ticket, try: attempt } of answer.orders ?? []) {
      const key = `${ticket}#${attempt}`;
      if (verb === 'forget') this.held.delete(key);
      if (verb === 'halt' && this.held.has(key))
        this.held.set(key, { ticket, try: attempt, standing: 'exited', cause: 'stopped', saved: true });
      if (verb !== 'run' || this.held.has(key)) continue;
      this.held.set(key, { ticket, try: attempt, standing: 'running' });
      setTimeout(() => this.held.set(key, { ticket, try: attempt, standing: 'exited', cause: 'done' }), 300);
    }
  }

  async loop(controller) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this.stopped) {
      const reply = await ask(controller, 'POST', '/hello', this.report(), agent);
      if (reply?.status === 200) this.take(reply.body);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }
}
