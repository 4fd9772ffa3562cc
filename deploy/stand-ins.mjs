/**
 * @file Stand-ins for the external systems, used only by the build: a state store, a cloud and one worker, each with just
 * enough behaviour for a controller to become leader and to schedule, run and finish a few jobs. They check nothing, so
 * tests must not use them. Tests have their own stand-ins, which check the requests that they receive.
 */
import { Agent, createServer, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Encoder } from 'cbor-x';

const WATCH_TIMEOUT_MS = 1000;
const TASK_DURATION_MS = 300;
const HEARTBEAT_INTERVAL_MS = 20;

const cbor = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  const raw = Buffer.concat(chunks);
  return raw.length > 0 ? cbor.decode(raw) : null;
}

/** Serves CBOR on a free loopback port and returns the address. `handle` returns the status and the body. */
function startServer(handle) {
  return new Promise((resolve) => {
    const server = createServer(async (req, res) => {
      const url = new URL(req.url, 'http://localhost');
      const [status, body] = await handle(req.method, url, await readBody(req));
      const payload = cbor.encode(body);
      res.writeHead(status, { 'content-type': 'application/cbor', 'content-length': payload.length });
      res.end(payload);
    });
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });
}

/** Sends one request. Returns the response, or null if there was none or its body could not be read. */
export function sendRequest(address, method, path, body, agent = false) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const payload = body === undefined ? null : cbor.encode(body);
    const headers = payload === null ? {} : { 'content-length': payload.length };
    const req = request({ host, port, method, path, agent, headers }, (res) =>
      resolve(
        readBody(res).then(
          (responseBody) => ({ status: res.statusCode, body: responseBody }),
          () => null,
        ),
      ),
    );
    req.on('error', () => resolve(null));
    if (payload !== null) req.write(payload);
    req.end();
  });
}

/** Starts a state store whose compare conditions always hold. Returns its address. */
export function startStateStore() {
  const items = new Map();
  const watchers = new Set();
  let revision = 1;
  const changesAfter = (from) =>
    [...items].filter(([, item]) => item.stamp > from).map(([key, item]) => ({ write: key, ...item }));
  const watch = async (url) => {
    const from = Number(url.searchParams.get('from'));
    if (changesAfter(from).length === 0)
      await new Promise((resolve) => {
        watchers.add(resolve);
        setTimeout(resolve, WATCH_TIMEOUT_MS).unref();
      });
    return [200, { ledgerRev: revision, news: changesAfter(from) }];
  };
  const commit = ({ writes }) => {
    if (writes.length > 0) revision += 1;
    for (const { write: key, value } of writes) if (key) items.set(key, { value, stamp: revision });
    for (const wake of watchers) wake();
    watchers.clear();
    return [200, { ledgerRev: revision }];
  };
  return startServer((_method, url, body) => {
    if (url.pathname === '/follow') return watch(url);
    if (url.pathname === '/store') return [200, { items: [], hasNext: false, ledgerRev: revision }];
    if (url.pathname === '/holds') return [200, { permit: 1 }];
    if (url.pathname === '/commit') return commit(body);
    return [200, {}];
  });
}

const MACHINE_TYPE = {
  label: 'precompile',
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

/** Starts a cloud that has the worker's instance and no capacity for others. Returns its address. */
export function startCloud(worker) {
  return startServer((method, url) => {
    if (url.pathname === '/flavors') return [200, { builds: [MACHINE_TYPE] }];
    if (url.pathname !== '/machines/return' && method === 'POST') return [503, { error: 'no capacity' }];
    const instance = {
      ref: worker.name,
      endpoint: worker.address,
      build: MACHINE_TYPE.label,
      hall: 'a',
      loaners: false,
      standing: 'running',
      ageS: 100,
    };
    return [200, { rigs: [instance], hasNext: false }];
  });
}

/** A worker that runs each task for 300 ms and sends heartbeats until the process ends. */
export class WorkerStandIn {
  name = 'n-000001';
  sequence = 0;
  fencingToken = 0;
  /** Tasks as in the worker protocol, by task and attempt. */
  tasks = new Map();

  async start(controllerAddress) {
    this.address = await startServer((_method, _url, commands) => {
      this.applyCommands(commands);
      return [200, this.heartbeat()];
    });
    this.sendHeartbeats(controllerAddress);
  }

  heartbeat() {
    this.sequence += 1;
    return {
      rig: this.name,
      endpoint: this.address,
      build: MACHINE_TYPE.label,
      hall: 'a',
      loaners: false,
      shift: 1,
      tick: this.sequence,
      baton: this.fencingToken,
      recallS: null,
      tickets: [...this.tasks.values()],
    };
  }

  applyCommands({ baton: fencingToken, orders: commands }) {
    this.fencingToken = Math.max(this.fencingToken, fencingToken ?? 0);
    for (const { verb, ticket, try: attempt } of commands ?? []) {
      const key = `${ticket}#${attempt}`;
      const setTask = (fields) => this.tasks.set(key, { ticket, try: attempt, ...fields });
      if (verb === 'forget') this.tasks.delete(key);
      if (verb === 'halt' && this.tasks.has(key))
        setTask({ standing: 'exited', cause: 'stopped', saved: true });
      if (verb !== 'run' || this.tasks.has(key)) continue;
      setTask({ standing: 'running' });
      setTimeout(() => setTask({ standing: 'exited', cause: 'done' }), TASK_DURATION_MS);
    }
  }

  async sendHeartbeats(controllerAddress) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (;;) {
      const response = await sendRequest(controllerAddress, 'POST', '/hello', this.heartbeat(), agent);
      if (response?.status === 200) this.applyCommands(response.body);
      await sleep(HEARTBEAT_INTERVAL_MS);
    }
  }
}
