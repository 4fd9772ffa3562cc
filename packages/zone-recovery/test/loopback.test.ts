/**
 * @file Zone loss and return, with three controllers, three zones of stand-in workers, a state store and a cloud on
 * loopback. Durations are a tenth of those of an ordinary deployment: 30 s become 3 s. The worker lease is 4 s, because a
 * shorter one would expire before another controller can become leader.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { Subscription } from 'rxjs';
import type { Features } from '../../../src/edge/config/features.js';
import { zoneRecordKey } from '../../../src/wire/keys.js';
import { call, listen } from '../../../test/standins/http.js';
import {
  MACHINE_TYPE_BODY,
  jobBody,
  reserveAddress,
  platformSettings,
  startController,
  waitUntil,
  waitUntilHealthy,
} from '../../../test/standins/cluster.js';
import { StateStoreStandIn, type StoreEndpoint } from '../../../test/standins/state-store.js';
import { TaskHistory, WorkerStandIn } from '../../../test/standins/worker.js';

const ZONES = ['east', 'north', 'west'];
const WORKERS_PER_ZONE = 4;
const LEASE_S = 4;
const REPLACED_WITHIN_MS = 3000;
const FAILOVER_WAIT_MS = 3500;
const FEATURES: Features = new Set(['zone-recovery']);
const SERVICES = ['req-1', 'req-2'];
const REPLICAS = 4;

const history = new TaskHistory();
const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
const workers: WorkerStandIn[] = [];
const apiAddresses: string[] = [];
const controllers = new Map<string, Subscription>();
const endpoints: StoreEndpoint[] = [];
const startByLabel = new Map<string, () => void>();
let closeCloud: () => void = () => undefined;

const MACHINE_TYPE = { ...MACHINE_TYPE_BODY, halls: ZONES };

const inventoryEntry = (worker: WorkerStandIn): unknown => ({
  ...{ ref: worker.name, endpoint: worker.address, build: 'big', hall: worker.zone, loaners: false },
  ...{ standing: 'running', ageS: 100 },
});

const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

before(async () => {
  await stateStore.start();
  const cloud = await listen((_method, url) => {
    if (url.pathname === '/flavors') return { status: 200, body: { builds: [MACHINE_TYPE] } };
    if (url.searchParams.has('page'))
      return { status: 200, body: { rigs: workers.map(inventoryEntry), hasNext: false } };
    return { status: 503, body: { error: 'no capacity' } };
  });
  closeCloud = cloud.close;
  const labels = ['one', 'two', 'three'];
  apiAddresses.push(...labels.map(() => reserveAddress()));
  for (const [n, label] of labels.entries()) {
    const endpoint = await stateStore.openEndpoint();
    endpoints.push(endpoint);
    const timing = { report_s: 0.2, lease_s: LEASE_S, cancel_s: 12 };
    const platform = platformSettings(label, apiAddresses[n] ?? '', cloud.address, endpoint, timing);
    const settings = { ...platform, facts: { ...platform.facts, zones: ZONES } };
    startByLabel.set(label, () => controllers.set(label, startController(settings, FEATURES)));
    startByLabel.get(label)?.();
  }
  for (const api of apiAddresses) await waitUntilHealthy(api);
  for (const [zoneIndex, zone] of ZONES.entries())
    for (let n = 0; n < WORKERS_PER_ZONE; n++) {
      const worker = new WorkerStandIn(`n-0000${zoneIndex}${n}`, zone, apiAddresses, history, (task) =>
        SERVICES.some((id) => task.startsWith(`${id}/`)) ? null : 400,
      );
      worker.leaseMs = LEASE_S * 1000;
      await worker.start();
      workers.push(worker);
    }
  const service = { shape: 'service', precedence: 'prod', tickets: REPLICAS, spread: true, desk: 'blue' };
  for (const id of SERVICES) await call(apiAddresses[0] ?? '', 'POST', '/work', jobBody(id, service));
  await waitForReplicas('at the start');
});

after(() => {
  for (const controller of controllers.values()) controller.unsubscribe();
  for (const worker of workers) worker.stop();
  closeCloud();
  stateStore.stop();
});

const replicas = (): Map<string, string> =>
  new Map([...history.running].filter(([task]) => SERVICES.some((id) => task.startsWith(`${id}/`))));

const waitForReplicas = (when: string, limitMs = 15_000): Promise<true> =>
  waitUntil(`all replicas run ${when}`, () => replicas().size === 2 * REPLICAS, limitMs);

/** Starts or ends a partition of a zone: in both directions, or only for messages from its workers. */
function setPartition(zone: string, isPartitioned: boolean, bothWays = isPartitioned): void {
  for (const worker of workers)
    if (worker.zone === zone) {
      worker.outboundLost = isPartitioned;
      worker.inboundLost = bothWays;
    }
}

let jobNumber = 100;
/** Submits lower-priority jobs, which keep the machines busy. */
async function submitJobs(count: number): Promise<void> {
  for (let n = 0; n < count; n++) {
    jobNumber += 1;
    const api = apiAddresses[jobNumber % apiAddresses.length] ?? '';
    await call(
      api,
      'POST',
      '/work',
      jobBody(`req-${jobNumber}`, { tickets: 4, precedence: 'idle', desk: 'blue' }),
    ).catch(() => null);
  }
}

/** Returns the zone with the most service replicas, so that its partition affects most of them. */
function busiestZone(): string {
  const count = (zone: string): number =>
    [...replicas().values()].filter((name) => workers.find((worker) => worker.name === name)?.zone === zone)
      .length;
  return [...ZONES].sort((a, b) => count(b) - count(a))[0] ?? '';
}

/**
 * Partitions a zone for longer than a worker lease, and checks that its service replicas are replaced in time. Returns
 * the service replicas that ran in other zones, which must keep running there.
 */
async function loseZone(zone: string): Promise<Map<string, string>> {
  const elsewhere = new Map(
    [...replicas()].filter(([, name]) => workers.find((worker) => worker.name === name)?.zone !== zone),
  );
  setPartition(zone, true);
  await pause(LEASE_S * 1000 + 500);
  const startedAt = process.hrtime.bigint();
  await waitForReplicas('outside the lost zone', REPLACED_WITHIN_MS + 4000);
  const tookMs = Number(process.hrtime.bigint() - startedAt) / 1e6;
  assert.ok(
    tookMs <= REPLACED_WITHIN_MS,
    `service replicas replaced only ${tookMs} ms after the worker leases expired`,
  );
  return elsewhere;
}

function checkNotMoved(elsewhere: ReadonlyMap<string, string>): void {
  const stopped = history.stopped.filter((task) => SERVICES.some((id) => task.startsWith(`${id}/`)));
  assert.deepEqual(stopped, [], 'no replica is stopped by a command');
  for (const [task, name] of elsewhere) assert.equal(history.running.get(task), name, task);
  assert.deepEqual(history.conflicts, [], 'no task runs on two machines');
}

const storedPhases = (): unknown =>
  (
    stateStore.items.get(zoneRecordKey('all'))?.value as { zones?: { phase: string }[] } | undefined
  )?.zones?.map(({ phase }) => phase);

test('a zone is lost under load: replicas are replaced in time, and the return of the zone evicts none', async () => {
  await submitJobs(6);
  const zone = busiestZone();
  const elsewhere = await loseZone(zone);
  await waitUntil('the loss is stored', () => JSON.stringify(storedPhases() ?? '').includes('lost'));
  setPartition(zone, false);
  const before = history.startCount;
  for (let n = 0; n < 6; n++) {
    await submitJobs(2);
    await pause(500);
  }
  checkNotMoved(elsewhere);
  assert.ok(history.startCount > before + 8, `${history.startCount - before} starts of lower-priority tasks`);
});

test('a zone flaps, and the leader fails during the return of the zone', async () => {
  const zone = busiestZone();
  const elsewhere = await loseZone(zone);
  setPartition(zone, false);
  await pause(1500);
  const leaderLabel = (stateStore.items.get('main/part/all')?.value as { label: string }).label;
  controllers.get(leaderLabel)?.unsubscribe();
  await pause(FAILOVER_WAIT_MS);
  await waitForReplicas('with another leader');
  checkNotMoved(elsewhere);
  startByLabel.get(leaderLabel)?.();
});

test('the state store is down for all controllers while a zone returns', async () => {
  const zone = busiestZone();
  await loseZone(zone);
  const before = replicas();
  stateStore.down = true;
  setPartition(zone, false);
  await pause(1200);
  stateStore.down = false;
  await pause(1500);
  await waitForReplicas('after the outage');
  checkNotMoved(
    new Map([...before].filter(([, name]) => workers.find((w) => w.name === name)?.zone !== zone)),
  );
});

test('a partition shorter than a lease, or an asymmetric one, moves no replica: all run on afterwards', async () => {
  const zone = busiestZone();
  const before = replicas();
  setPartition(zone, true);
  await pause(2500);
  setPartition(zone, false);
  await pause(1500);
  checkNotMoved(before);
  setPartition(zone, true, false);
  await pause(2500);
  setPartition(zone, false);
  await pause(1500);
  checkNotMoved(before);
});

/** Guards against an old zone record: its write compared the leader key alone, which does not change between records. */
test('late copies of zone records that were written do not replace the newest one', () => {
  const isZoneWrite = ({ writes }: { writes?: { write?: string }[] }): boolean =>
    writes?.some(({ write }) => write === zoneRecordKey('all')) === true;
  const copies = stateStore.transactions.filter(isZoneWrite);
  assert.ok(copies.length > 1, 'fewer than two zone records were written');
  const newest = storedPhases();
  const committed = copies.filter((copy) => stateStore.commit(copy).status === 200);
  assert.deepEqual([committed.length, storedPhases()], [0, newest]);
});
