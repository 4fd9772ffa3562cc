/** @file Zone loss and return, with three controllers and three zones of workers on loopback. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { Subscription } from 'rxjs';
import type { Features } from '../../../src/edge/config/features.js';
import { zoneRecordKey } from '../../../src/wire/keys.js';
import { call, listen } from '../../../test/standins/http.js';
import {
  jobBody,
  reserveAddress,
  platformSettings,
  startController,
  waitUntil,
  waitUntilHealthy,
} from '../../../test/standins/cluster.js';
import { StateStoreStandIn, type StoreEndpoint } from '../../../test/standins/state-store.js';
import { TaskHistory, WorkerStandIn } from '../../../test/standins/worker.js';

/**
 * Three controllers, three zones of stand-in workers, a state store and a cloud on loopback: a zone is lost and comes
 * back. Spans are a tenth of an ordinary deployment's: a lease of 4 s, so that 30 s become 3 s; a shorter one would end before another controller can lead.
 */
const ZONES = ['east', 'north', 'west'];
const WORKERS_PER_ZONE = 4;
const LEASE_S = 4;
const REPLACED_WITHIN_MS = 3000;
const CUT_MS = 3500;
const FEATURES: Features = new Set(['zone-recovery']);
const SERVICES = ['req-1', 'req-2'];
const REPLICAS = 4;

const history = new TaskHistory();
const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
const workers: WorkerStandIn[] = [];
const apis: string[] = [];
const controllers = new Map<string, Subscription>();
const endpoints: StoreEndpoint[] = [];
const start = new Map<string, () => void>();
let closeCloud: () => void = () => undefined;

const TYPE = {
  ...{ label: 'big', vcpus: 8, gpus: 2, memGb: 64, localGb: 100, fetchGbPerS: 1, rate: 10, spotPrice: 4 },
  ...{ bootS: 30, halls: ZONES },
};

const listed = (worker: WorkerStandIn): unknown => ({
  ...{ ref: worker.name, endpoint: worker.address, build: 'big', hall: worker.zone, loaners: false },
  ...{ standing: 'running', ageS: 100 },
});

const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

before(async () => {
  await stateStore.start();
  const cloud = await listen((_method, url) => {
    if (url.pathname === '/flavors') return { status: 200, body: { builds: [TYPE] } };
    if (url.searchParams.has('page'))
      return { status: 200, body: { rigs: workers.map(listed), hasNext: false } };
    return { status: 503, body: { error: 'no capacity' } };
  });
  closeCloud = cloud.close;
  const labels = ['one', 'two', 'three'];
  apis.push(...labels.map(() => reserveAddress()));
  for (const [n, label] of labels.entries()) {
    const endpoint = await stateStore.openEndpoint();
    endpoints.push(endpoint);
    const timing = { report_s: 0.2, lease_s: LEASE_S, cancel_s: 12 };
    const p = platformSettings(label, apis[n] ?? '', cloud.address, endpoint, timing);
    const settings = { ...p, facts: { ...p.facts, zones: ZONES } };
    start.set(label, () => controllers.set(label, startController(settings, FEATURES)));
    start.get(label)?.();
  }
  for (const api of apis) await waitUntilHealthy(api);
  for (const [z, zone] of ZONES.entries())
    for (let n = 0; n < WORKERS_PER_ZONE; n++) {
      const worker = new WorkerStandIn(`n-0000${z}${n}`, zone, apis, history, (ticket) =>
        SERVICES.some((id) => ticket.startsWith(`${id}/`)) ? null : 400,
      );
      worker.leaseMs = LEASE_S * 1000;
      await worker.start();
      workers.push(worker);
    }
  const service = { shape: 'service', precedence: 'prod', tickets: REPLICAS, spread: true, desk: 'blue' };
  for (const id of SERVICES) await call(apis[0] ?? '', 'POST', '/work', jobBody(id, service));
  await allUp('at the start');
});

after(() => {
  for (const controller of controllers.values()) controller.unsubscribe();
  for (const worker of workers) worker.stop();
  closeCloud();
  stateStore.stop();
});

const replicas = (): Map<string, string> =>
  new Map([...history.running].filter(([ticket]) => SERVICES.some((id) => ticket.startsWith(`${id}/`))));

const allUp = (when: string, limitMs = 15_000): Promise<true> =>
  waitUntil(`all replicas run ${when}`, () => replicas().size === 2 * REPLICAS, limitMs);

/** Cuts a zone off, or only in the direction from its workers, or ends the cut. */
function cut(zone: string, isCut: boolean, bothWays = isCut): void {
  for (const worker of workers)
    if (worker.zone === zone) {
      worker.outboundLost = isCut;
      worker.inboundLost = bothWays;
    }
}

/** Lower work that goes on all the time. */
let jobs = 100;
async function flood(count: number): Promise<void> {
  for (let n = 0; n < count; n++) {
    jobs += 1;
    const api = apis[jobs % apis.length] ?? '';
    await call(
      api,
      'POST',
      '/work',
      jobBody(`req-${jobs}`, { tickets: 4, precedence: 'idle', desk: 'blue' }),
    ).catch(() => null);
  }
}

/** The zone with most replicas: cutting it hurts most. */
function busiestZone(): string {
  const count = (zone: string): number =>
    [...replicas().values()].filter((name) => workers.find((worker) => worker.name === name)?.zone === zone)
      .length;
  return [...ZONES].sort((a, b) => count(b) - count(a))[0] ?? '';
}

/** Cuts a zone for longer than a lease; yields the replicas that ran elsewhere, which must not be touched. */
async function loseZone(zone: string): Promise<Map<string, string>> {
  const elsewhere = new Map(
    [...replicas()].filter(([, name]) => workers.find((worker) => worker.name === name)?.zone !== zone),
  );
  cut(zone, true);
  await pause(LEASE_S * 1000 + 500);
  const began = process.hrtime.bigint();
  await allUp('beside the lost zone', REPLACED_WITHIN_MS + 4000);
  const tookMs = Number(process.hrtime.bigint() - began) / 1e6;
  assert.ok(tookMs <= REPLACED_WITHIN_MS, `replaced ${tookMs} ms after the leases`);
  return elsewhere;
}

function checkUntouched(elsewhere: ReadonlyMap<string, string>): void {
  const stopped = history.stopped.filter((ticket) => SERVICES.some((id) => ticket.startsWith(`${id}/`)));
  assert.deepEqual(stopped, [], 'no replica is stopped by a command');
  for (const [ticket, name] of elsewhere) assert.equal(history.running.get(ticket), name, ticket);
  assert.deepEqual(history.conflicts, [], 'no task runs in two places');
}

const keptPhases = (): unknown =>
  (
    stateStore.items.get(zoneRecordKey('all'))?.value as { zones?: { phase: string }[] } | undefined
  )?.zones?.map(({ phase }) => phase);

test('a zone is lost under load: replicas are replaced in time, and its return evicts none', async () => {
  await flood(6);
  const zone = busiestZone();
  const elsewhere = await loseZone(zone);
  await waitUntil('the loss is kept', () => JSON.stringify(keptPhases() ?? '').includes('lost'));
  cut(zone, false);
  const before = history.startCount;
  for (let n = 0; n < 6; n++) {
    await flood(2);
    await pause(500);
  }
  checkUntouched(elsewhere);
  assert.ok(history.startCount > before + 8, `${history.startCount - before} starts: lower work goes on`);
});

test('a zone flaps, and the leader fails in the middle of its return', async () => {
  const zone = busiestZone();
  const elsewhere = await loseZone(zone);
  cut(zone, false);
  await pause(1500);
  const owner = (stateStore.items.get('main/part/all')?.value as { label: string }).label;
  controllers.get(owner)?.unsubscribe();
  await pause(CUT_MS);
  await allUp('with another leader');
  checkUntouched(elsewhere);
  start.get(owner)?.();
});

test('a state store outage for all controllers while a zone returns', async () => {
  const zone = busiestZone();
  await loseZone(zone);
  const before = replicas();
  stateStore.down = true;
  cut(zone, false);
  await pause(1200);
  stateStore.down = false;
  await pause(1500);
  await allUp('after the outage');
  checkUntouched(
    new Map([...before].filter(([, name]) => workers.find((w) => w.name === name)?.zone !== zone)),
  );
});

test('a partition shorter than a lease, or asymmetric, moves no replica: tasks are still running afterwards', async () => {
  const zone = busiestZone();
  const before = replicas();
  cut(zone, true);
  await pause(2500);
  cut(zone, false);
  await pause(1500);
  checkUntouched(before);
  cut(zone, true, false);
  await pause(2500);
  cut(zone, false);
  await pause(1500);
  checkUntouched(before);
});
