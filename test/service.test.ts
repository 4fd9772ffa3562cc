import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import pino from 'pino';
import type { Subscription } from 'rxjs';
import { DEFAULTS } from '../src/edge/knobs.js';
import { startService } from '../src/edge/service.js';
import type { Platform } from '../src/edge/settings.js';
import { call, listen } from './standins/http.js';
import { StateStandIn } from './standins/state.js';
import { Watch, WorkerStandIn } from './standins/worker.js';

// A whole service on loopback: two controllers, a state service, a cloud and two workers, all stand-ins of ours.
const state = new StateStandIn({ txnOps: 4, valueBytes: 4096 });
const watch = new Watch();
const silent = pino({ level: 'silent' });
const running: { stop: () => void }[] = [];
const controllers: Subscription[] = [];
let users = '';
let second = '';

async function freePort(): Promise<number> {
  const s = createServer();
  await new Promise<void>((done) => s.listen(0, '127.0.0.1', done));
  const port = (s.address() as AddressInfo).port;
  await new Promise<void>((done) => s.close(() => done()));
  return port;
}

const TYPES = {
  builds: [
    {
      label: 'big',
      vcpus: 8,
      gpus: 2,
      memGb: 64,
      localGb: 100,
      fetchGbPerS: 1,
      rate: 10,
      spotPrice: 4,
      bootS: 30,
      halls: ['east', 'west'],
    },
  ],
};

function platform(label: string, api: string, cloud: string): Platform {
  return {
    label,
    area: 'east',
    api_addr: api,
    internal_addr: '127.0.0.1:1',
    known: [],
    external: { cloud, state: state.addr },
    facts: {
      zones: ['east', 'west'],
      teams: [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 4 }],
      objectives: [],
      workers: { report_s: 0.2, lease_s: 5, gang_wait_s: 10, gang_peer_s: 2, cancel_s: 20 },
      state: { rps: 400, write_rps: 200, value_kb: 4, txn_ops: 4 },
      cloud: { rps: 20, list_lag_s: 1 },
      skew_ms: 5,
    },
  };
}

const job = (id: string, over: Record<string, unknown> = {}): Record<string, unknown> => ({
  ref: id,
  docket: 'work',
  desk: 'red',
  shape: 'batch',
  precedence: 'normal',
  tickets: 1,
  vcpus: 1,
  gpus: 1,
  memGb: 4,
  bundle: 'img',
  pullGb: 1,
  oneZone: false,
  spread: false,
  loaners: false,
  expectedS: 1,
  snapshotEveryS: 0,
  snapshotS: 0,
  ...over,
});

async function until<T>(what: string, look: () => Promise<T | null>, limitMs = 8000): Promise<T> {
  const end = process.hrtime.bigint() + BigInt(limitMs) * 1_000_000n;
  for (;;) {
    const v = await look();
    if (v !== null) return v;
    if (process.hrtime.bigint() > end) throw new Error(`not in time: ${what}`);
    await new Promise((r) => setTimeout(r, 50));
  }
}

const standing = async (id: string, want: string): Promise<true> =>
  until(`${id} ${want}`, async () =>
    (await call(users, 'GET', `/work/${id}`)).body['standing'] === want ? true : null,
  );

before(async () => {
  await state.start();
  const workers: WorkerStandIn[] = [];
  const cloud = await listen((_m, url) => {
    if (url.pathname === '/flavors') return { status: 200, body: TYPES };
    if (url.pathname === '/machines' && url.searchParams.has('page'))
      return {
        status: 200,
        body: {
          rigs: workers.map((w) => ({
            ref: w.name,
            endpoint: w.addr,
            build: 'big',
            hall: w.zone,
            loaners: false,
            standing: 'running',
            ageS: 10,
          })),
          hasNext: false,
        },
      };
    if (url.pathname === '/machines/return') return { status: 200, body: {} };
    return { status: 503, body: { error: 'no capacity' } };
  });
  running.push({ stop: cloud.close });
  users = `127.0.0.1:${await freePort()}`;
  second = `127.0.0.1:${await freePort()}`;
  for (const [n, zone] of ['east', 'west'].entries()) {
    const w = new WorkerStandIn(`n-00000${n}`, zone, [users, second], watch, (t) =>
      t.startsWith('req-9') ? null : 150,
    );
    await w.start();
    workers.push(w);
    running.push(w);
  }
  for (const [label, api] of [
    ['one', users],
    ['two', second],
  ] as const)
    controllers.push(
      startService(platform(label, api, cloud.addr), DEFAULTS, silent, (why) => assert.fail(why)),
    );
  for (const api of [users, second])
    await until('healthy', async () =>
      (await call(api, 'GET', '/healthz').catch(() => null))?.status === 200 ? true : null,
    );
});

after(() => {
  for (const c of controllers) c.unsubscribe();
  for (const r of running) r.stop();
  state.stop();
});

test('what cannot be taken is refused: 400, 422, 404, 405', async () => {
  assert.equal((await call(users, 'POST', '/work', Buffer.from('not cbor at all'))).status, 400);
  assert.equal((await call(users, 'POST', '/work', ['a list'])).status, 400);
  assert.equal((await call(users, 'POST', '/work', Buffer.alloc(70_000))).status, 400);
  assert.equal((await call(users, 'POST', '/work', job('req-1', { tickets: 0 }))).status, 400);
  assert.equal((await call(users, 'POST', '/work', job('req-1', { desk: 'nobody' }))).status, 422);
  assert.equal((await call(users, 'POST', '/work', job('req-1', { gpus: 3 }))).status, 422);
  assert.equal(
    (await call(users, 'POST', '/work', job('req-1', { shape: 'service', tickets: 5 }))).status,
    422,
  );
  assert.equal((await call(users, 'GET', '/work/req-1')).status, 404);
  assert.equal((await call(users, 'DELETE', '/work')).status, 405);
  assert.equal((await call(users, 'GET', '/elsewhere')).status, 404);
});

test('an array runs to its end, through either controller, and a repeat gets its state whatever it says', async () => {
  assert.equal((await call(second, 'POST', '/work', job('req-2', { tickets: 6 }))).status, 201);
  await standing('req-2', 'done');
  const again = await call(second, 'POST', '/work', job('req-2', { tickets: -1 }));
  assert.deepEqual([again.status, again.body['standing']], [200, 'done']);
});

test('a gang and a cancelled service; nothing of them is left', async () => {
  assert.equal(
    (await call(users, 'POST', '/work', job('req-3', { shape: 'ensemble', tickets: 3 }))).status,
    201,
  );
  await standing('req-3', 'done');
  assert.equal(
    (await call(users, 'POST', '/work', job('req-90', { shape: 'service', tickets: 2, spread: true })))
      .status,
    201,
  );
  await until('replicas run', async () =>
    watch.running.has('req-90/0') && watch.running.has('req-90/1') ? true : null,
  );
  const c = await call(second, 'POST', '/work/req-90/withdraw');
  assert.deepEqual([c.status, c.body['standing']], [200, 'cancelled']);
  await until('replicas gone', async () => (watch.running.size === 0 ? true : null));
  assert.equal((await call(users, 'POST', '/work/req-90/withdraw')).body['standing'], 'cancelled');
});

test('in an outage of the state service: final states are told, the rest is refused at once', async () => {
  state.down = true;
  assert.equal((await call(users, 'GET', '/work/req-2')).body['standing'], 'done');
  const began = process.hrtime.bigint();
  const r = await call(users, 'POST', '/work', job('req-4'));
  assert.equal(r.status, 503);
  assert.equal(r.retryAfter, '1');
  assert.ok(process.hrtime.bigint() - began < 2_000_000_000n);
  assert.equal((await call(users, 'GET', '/work/req-4')).status, 503);
  state.down = false;
  await until('taken after the outage', async () =>
    (await call(users, 'POST', '/work', job('req-4'))).status < 300 ? true : null,
  );
  await standing('req-4', 'done');
});

test('the owner ends: the other takes the part over, and what was accepted runs', async () => {
  const part = [...state.items].find(([k]) => k.includes('/part/'));
  const owner = (part?.[1].value as { label: string }).label;
  const rest = owner === 'one' ? second : users;
  assert.equal((await call(rest, 'POST', '/work', job('req-5', { tickets: 4 }))).status, 201);
  controllers[owner === 'one' ? 0 : 1]?.unsubscribe();
  const before = part?.[1].stamp ?? 0;
  users = rest;
  await standing('req-5', 'done');
  const now = [...state.items].find(([k]) => k.includes('/part/'))?.[1];
  assert.ok((now?.stamp ?? 0) > before, 'the token rises with the term');
});

test('no task ran in two places', () => {
  assert.ok(watch.starts >= 16);
  assert.deepEqual(watch.broken, []);
});
