/** @file Limits on connections and memory, and the behaviour when they are reached. */
import assert from 'node:assert/strict';
import { Agent, get } from 'node:http';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import pino from 'pino';
import { warnRateLimited } from '../src/edge/runtime/logger.js';
import { InboundConnections } from '../src/edge/http/inbound-connections.js';
import { memoryAction, privateShare } from '../src/edge/runtime/memory-monitor.js';
import { readPlatformSettings } from '../src/edge/config/platform-settings.js';
import { MIN_SOCKETS, connectionLimitsFor } from '../src/edge/config/connection-limits.js';
import { WorkerCommandSender } from '../src/edge/workers/worker-command-sender.js';
import { decode, encode } from '../src/wire/cbor.js';
import { isDecodable } from '../src/wire/stored-value-check.js';
import { encodeJob } from '../src/wire/job-record.js';
import { jobSpec } from './fixtures/cluster-config.js';
import {
  jobBody,
  reserveAddress,
  startCluster,
  platformSettings,
  startController,
  waitUntil,
  waitUntilHealthy,
} from './standins/cluster.js';
import { call } from './standins/http.js';
import { StateStoreStandIn } from './standins/state-store.js';
import { TaskHistory, WorkerStandIn } from './standins/worker.js';

test('memory: collects garbage after enough growth since the last collection, and sheds users when that does not help', () => {
  assert.equal(memoryAction(0.5, 0), 'none');
  assert.equal(memoryAction(0.82, 0.5), 'collect');
  // The last collection freed almost nothing: it is not repeated at once.
  assert.equal(memoryAction(0.83, 0.82), 'none');
  assert.equal(memoryAction(0.92, 0.91), 'shed');
  assert.equal(memoryAction(0.95, 0.91), 'collect');
});

test('memory: file-backed pages do not count; if the statistic is malformed, everything counts', () => {
  assert.equal(privateShare('262144 26000 10400 9000 0 60000 0\n'), 0.6);
  for (const odd of ['', 'x y z', '100 0 0', '100 50 60']) assert.equal(privateShare(odd), 1, odd);
});

test('connection limits leave connections for the state store and for returning workers', () => {
  for (const max of [64, 600, 1760, 2000]) {
    const limits = connectionLimitsFor(max);
    assert.ok(limits.workerCommands > 0 && limits.inbound > 0 && limits.userLimit > 0, `${max}`);
    assert.ok(
      limits.rotateUsersAbove < limits.userLimit &&
        limits.userLimit < limits.rotateWorkersAbove &&
        limits.rotateWorkersAbove < limits.inbound,
      `${max}`,
    );
    assert.ok(limits.inbound + limits.workerCommands + 20 < max, `${max}`);
  }
  // Each machine keeps its connection even in a fleet half as large again as the settings were written for.
  assert.ok(connectionLimitsFor(1760).inbound > 1150);
});

test('limits that are too small are refused with an error of one line; large limits are accepted', () => {
  const dir = mkdtempSync(join(tmpdir(), 'settings-'));
  const read = (limits: Record<string, number>): unknown => {
    const path = join(dir, 'settings.json');
    const settings = platformSettings('one', '127.0.0.1:1', '127.0.0.1:2', { address: '127.0.0.1:3' });
    writeFileSync(path, JSON.stringify({ ...settings, facts: { ...settings.facts, limits } }));
    return readPlatformSettings(path);
  };
  const sufficient = { core_share: 0.3, memory_mb: 230, max_sockets: 1760 };
  read(sufficient);
  read({ core_share: 64, memory_mb: 1e6, max_sockets: 1e6 });
  assert.throws(() => read({ ...sufficient, memory_mb: 40 }), /limits.memory_mb: at least 96 is needed$/);
  assert.throws(
    () => read({ ...sufficient, max_sockets: 10 }),
    /limits.max_sockets: at least 64 are needed$/,
  );
  rmSync(dir, { recursive: true });
});

test('malformed messages are logged at a limited rate', () => {
  const lines: string[] = [];
  const logger = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
  for (let n = 0; n < 1000; n++) warnRateLimited(logger, { n }, 'malformed heartbeat');
  warnRateLimited(logger, {}, 'something else');
  assert.deepEqual(
    lines.map((l) => (JSON.parse(l) as { msg: string }).msg),
    ['malformed heartbeat', 'something else'],
  );
});

test('a stored value that does not match its key is detected before use', () => {
  const record = { spec: jobSpec('req-1'), submittedAt: new Date(0), status: 'open' as const };
  assert.ok(isDecodable('main/job/req-1', decode(encode(encodeJob(record)))));
  assert.ok(isDecodable('main/part/all', { label: 'a', incarnation: 'b' }));
  for (const [key, value] of [
    ['main/job/req-1', 'cut sho'],
    ['main/job/req-1', { st: 'open' }],
    ['main/part/all', 7],
    ['main/page/all/0', { rows: [] }],
  ] as const)
    assert.ok(!isDecodable(key, value), key);
});

test('hanging machines do not exhaust the connections: calls stay within their limit, and commands are sent', async () => {
  // Each machine has its own address in the loopback range; none of them answers.
  const hanging = createServer();
  await new Promise<void>((done) => hanging.listen(0, '0.0.0.0', done));
  const { port } = hanging.address() as AddressInfo;
  let open = 0;
  let maxOpen = 0;
  let commands = 0;
  hanging.on('connection', (socket) => {
    open += 1;
    maxOpen = Math.max(maxOpen, open);
    socket.on('close', () => (open -= 1));
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => (commands += data.includes('req-1') ? 1 : 0));
  });
  const sender = new WorkerCommandSender(
    8,
    () => 1,
    () => true,
    () => undefined,
  );
  const subscription = sender.start();
  const start = { op: 'start', jobId: 'req-1', taskIndex: 0, attempt: 1 } as const;
  const endpointOf = (n: number): string => `127.0.0.${n + 1}:${port}`;
  for (let n = 0; n < 40; n++)
    sender.push({ machineName: `q${n}`, endpoint: endpointOf(n), agentEpoch: 1, commands: [] });
  for (let n = 40; n < 44; n++)
    sender.push({ machineName: `c${n}`, endpoint: endpointOf(n), agentEpoch: 1, commands: [start] });
  await waitUntil('all commands are sent', () => commands === 4);
  assert.ok(maxOpen <= 8, `${maxOpen} at once`);
  subscription.unsubscribe();
  hanging.close();
});

test('more users than connections: connections are rotated until every user is answered, and workers connect', async () => {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
  await stateStore.start();
  const api = reserveAddress();
  const cluster = await startCluster([api], new TaskHistory(), () => 150);
  const settings = platformSettings('one', api, cluster.cloudAddress, stateStore);
  const limits = { core_share: 1, memory_mb: 4000, max_sockets: MIN_SOCKETS };
  const controller = startController({ ...settings, facts: { ...settings.facts, limits } });
  try {
    await waitUntilHealthy(api);
    // Each user keeps its connection open for as long as the controller allows.
    const agents = Array.from({ length: 60 }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
    const [host = '', port = ''] = api.split(':');
    const fetchStatus = (agent: Agent): Promise<number> =>
      new Promise((resolve) => {
        const req = get({ host, port, agent, path: '/work/req-404' }, (res) => {
          res.resume();
          res.on('end', () => resolve(res.statusCode ?? 0));
        });
        req.on('error', () => resolve(0));
      });
    const answered = new Set<Agent>();
    for (let round = 0; round < 10 && answered.size < agents.length; round++)
      await Promise.all(
        agents.map(async (a, n) => {
          await new Promise((r) => setTimeout(r, 40 * n));
          if ((await fetchStatus(a)) === 404) answered.add(a);
        }),
      );
    for (const a of agents) a.destroy();
    assert.equal(answered.size, agents.length);
  } finally {
    controller.unsubscribe();
    cluster.stop();
    stateStore.stop();
  }
});

test('after connections ran short, worker connections are rotated for a minute, which is logged once', () => {
  let now = 0n;
  const lines: string[] = [];
  const logger = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
  const limits = connectionLimitsFor(600);
  const connections = new InboundConnections(limits, logger, () => now);
  for (let n = 0; n < limits.rotateWorkersAbove; n++) assert.ok(connections.admit());
  assert.equal(connections.rotatesWorkerConnections(), false);
  assert.ok(
    connections.refusesNewUsers && connections.rotatesUserConnections,
    'users are shed before workers',
  );
  while (connections.admit()) assert.ok(connections.rotatesWorkerConnections());
  assert.equal(connections.open, limits.inbound);
  while (connections.open > 0) connections.release();
  now += 59_000_000_000n;
  assert.ok(connections.rotatesWorkerConnections());
  now += 2_000_000_000n;
  assert.equal(connections.rotatesWorkerConnections(), false);
  assert.equal(lines.length, 1);
});

// Without rotation, each worker would keep its connection, and workers without one would lose their leases and tasks.
test('more workers than connections: connections are rotated, and every lease keeps being renewed', async () => {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
  await stateStore.start();
  const api = reserveAddress();
  const history = new TaskHistory();
  const cluster = await startCluster([api], history, () => 150);
  const settings = platformSettings('one', api, cluster.cloudAddress, stateStore);
  const limits = { core_share: 1, memory_mb: 4000, max_sockets: MIN_SOCKETS };
  const controller = startController({ ...settings, facts: { ...settings.facts, limits } });
  const workers = Array.from({ length: 100 }, (_, n) => {
    const worker = new WorkerStandIn(`n-1${String(n).padStart(5, '0')}`, 'east', [api], history, () => 150);
    worker.heartbeatIntervalMs = 500;
    worker.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return worker;
  });
  try {
    await waitUntilHealthy(api);
    for (const worker of workers) await worker.start();
    for (let round = 0; round < 3; round++) {
      const startedAt = process.hrtime.bigint();
      await waitUntil(
        `all are answered, round ${round}`,
        () => workers.every((worker) => worker.lastRenewedAt > startedAt),
        5000,
      );
    }
  } finally {
    for (const worker of workers) worker.stop();
    controller.unsubscribe();
    cluster.stop();
    stateStore.stop();
  }
});

test('a flood of invalid requests is refused while workers keep being answered', async () => {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
  await stateStore.start();
  const api = reserveAddress();
  const cluster = await startCluster([api], new TaskHistory(), () => 150);
  const settings = platformSettings('one', api, cluster.cloudAddress, stateStore);
  const limits = { core_share: 0.05, memory_mb: 4000, max_sockets: 400 };
  const controller = startController({ ...settings, facts: { ...settings.facts, limits } });
  const agents = Array.from({ length: 24 }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
  try {
    await waitUntilHealthy(api);
    await waitUntil('heartbeats are answered', () =>
      cluster.workers.every((worker) => worker.fencingToken > 0),
    );
    const invalidRequests: readonly [string, unknown][] = [
      ['/work', Buffer.from([0xff, 0x00, 0x13])],
      ['/work', Buffer.alloc(70 * 1024, 0x61)],
      ['/work', { ...jobBody('req-1'), tickets: -1 }],
      ['/hello', Buffer.from('not a report')],
      ['/hello', { rig: 'n-000001', shift: 'one' }],
      ['/work', [1, 2, 3]],
    ];
    let flooding = true;
    let refused = 0;
    const flood = agents.map(async (agent) => {
      for (let n = 0; flooding; n++) {
        const [path, body] = invalidRequests[n % invalidRequests.length] ?? ['/', null];
        const response = await call(api, 'POST', path, body, agent).catch(() => null);
        // The connection of the oversized request may be closed before its response is read.
        if (response !== null) assert.equal(response.status, 400);
        refused += response === null ? 0 : 1;
      }
    });
    // Each worker's lease keeps being renewed: a heartbeat sent during the flood is answered.
    const startedAt = process.hrtime.bigint();
    await waitUntil(
      'a heartbeat of each worker is answered',
      () => refused > 500 && cluster.workers.every((worker) => worker.lastRenewedAt > startedAt),
      20_000,
    );
    flooding = false;
    await Promise.all(flood);
    assert.equal((await call(api, 'GET', '/work/req-1')).status, 404);
  } finally {
    for (const a of agents) a.destroy();
    controller.unsubscribe();
    cluster.stop();
    stateStore.stop();
  }
});
