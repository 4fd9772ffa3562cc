/** @file Jobs with dependencies, through two linked controllers on loopback. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { Subscription } from 'rxjs';
import { decodeJob } from '../src/wire/job-record.js';
import { versionKey } from '../src/wire/keys.js';
import { call } from './standins/http.js';
import {
  reserveAddress,
  jobBody,
  startCluster,
  platformSettings,
  startController,
  waitUntil,
  waitUntilHealthy,
} from './standins/cluster.js';
import { StateStoreStandIn } from './standins/state-store.js';
import { TaskHistory } from './standins/worker.js';

const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
const history = new TaskHistory();
const clusters: { stop: () => void }[] = [];
const controllers: Subscription[] = [];
let firstApi = '';
let secondApi = '';
let startSecondController: () => void = () => undefined;

const submit = async (api: string, id: string, overrides: Record<string, unknown>): Promise<number> =>
  (await call(api, 'POST', '/work', jobBody(id, overrides))).status;

const statusAt = async (api: string, id: string): Promise<unknown> =>
  (await call(api, 'GET', `/work/${id}`)).body['standing'];

before(async () => {
  await stateStore.start();
  firstApi = reserveAddress();
  secondApi = reserveAddress();
  const cluster = await startCluster([firstApi, secondApi], history, (ticket) =>
    ticket.startsWith('req-9') ? null : 150,
  );
  clusters.push(cluster);
  const settingsWithPeer = (label: string, api: string, other: string) => ({
    ...platformSettings(label, api, cluster.cloudAddress, stateStore),
    known: [{ label: other, area: 'west', endpoint: reserveAddress() }],
  });
  controllers.push(startController(settingsWithPeer('one', firstApi, 'two')));
  startSecondController = () => controllers.push(startController(settingsWithPeer('two', secondApi, 'one')));
  await waitUntilHealthy(firstApi);
});

after(() => {
  for (const subscription of controllers) subscription.unsubscribe();
  for (const cluster of clusters) cluster.stop();
  stateStore.stop();
});

test('dependencies are refused until every controller is known to support them', async () => {
  await waitUntil('the version of controller one is stored', () => stateStore.items.has(versionKey('one')));
  assert.equal(await submit(firstApi, 'req-1', {}), 201, 'jobs without dependencies are accepted');
  const refused = await call(firstApi, 'POST', '/work', jobBody('req-2', { awaits: ['req-1'] }));
  assert.equal(refused.status, 503);
  assert.equal(await submit(firstApi, 'req-3', { awaits: [] }), 201, 'an empty list is no dependency');
  assert.equal(await submit(firstApi, 'req-4', { awaits: null }), 201);
  startSecondController();
  await waitUntilHealthy(secondApi);
  await waitUntil(
    'both versions are stored',
    async () => (await submit(firstApi, 'req-2', { awaits: ['req-1'] })) === 201,
  );
  await waitUntil(
    'req-2 runs after its dependency',
    async () => (await statusAt(secondApi, 'req-2')) === 'done',
  );
  const startedAt = (id: string): bigint => history.startedAt.get(`${id}/0`) ?? 0n;
  assert.ok(startedAt('req-2') > startedAt('req-1'));
  assert.deepEqual(stateStore.items.get(versionKey('one'))?.value, { features: ['dependencies'] });
});

test('a malformed dependency gets 400, one that could never be satisfied 422', async () => {
  assert.equal(await submit(firstApi, 'req-90', { shape: 'service' }), 201);
  for (const awaits of ['req-1', ['x'], [1], ['req-10'], {}])
    assert.equal(await submit(firstApi, 'req-10', { awaits }), 400, JSON.stringify(awaits));
  assert.equal(await submit(firstApi, 'req-10', { awaits: ['req-777'] }), 422, 'never accepted');
  assert.equal(await submit(firstApi, 'req-10', { awaits: ['req-90'] }), 422, 'a service is never done');
  const tooManyDependencies = Array.from({ length: 300 }, (_, n) => `req-${n + 1_000_000}`);
  assert.equal(
    await submit(firstApi, 'req-10', { awaits: tooManyDependencies }),
    422,
    'a record cannot hold that many',
  );
  assert.equal((await call(firstApi, 'GET', '/work/req-10')).status, 404);
  assert.equal(
    await submit(secondApi, 'req-11', { awaits: ['req-1', 'req-1'] }),
    201,
    'a repeated dependency is stored once',
  );
  const stored = [...stateStore.items].find(([key]) => key.endsWith('/req-11'))?.[1].value;
  assert.deepEqual(decodeJob(stored).spec.dependencies, ['req-1']);
  assert.equal(
    await submit(firstApi, 'req-11', { awaits: ['req-777'] }),
    200,
    'a repeated submission gets the status, whatever it contains',
  );
  await call(firstApi, 'POST', '/work/req-90/withdraw');
});

test('a cancellation propagates to dependents at every controller; completion does not', async () => {
  assert.equal(await submit(firstApi, 'req-95', {}), 201);
  assert.equal(await submit(secondApi, 'req-20', { awaits: ['req-95'] }), 201);
  assert.equal(await submit(firstApi, 'req-21', { awaits: ['req-20', 'req-1'] }), 201);
  assert.equal(await statusAt(secondApi, 'req-21'), 'pending');
  assert.equal((await call(secondApi, 'POST', '/work/req-95/withdraw')).body['standing'], 'cancelled');
  for (const api of [firstApi, secondApi])
    for (const id of ['req-20', 'req-21']) assert.equal(await statusAt(api, id), 'cancelled');
  assert.equal(
    await submit(firstApi, 'req-22', { awaits: ['req-21'] }),
    201,
    'accepted although already cancelled by its dependency',
  );
  for (const api of [firstApi, secondApi]) assert.equal(await statusAt(api, 'req-22'), 'cancelled');
  assert.equal((await call(firstApi, 'POST', '/work/req-22/withdraw')).body['standing'], 'cancelled');
  await waitUntil('req-11 is done', async () => (await statusAt(firstApi, 'req-11')) === 'done');
  assert.equal((await call(firstApi, 'POST', '/work/req-11/withdraw')).body['standing'], 'done');
  assert.equal(await submit(firstApi, 'req-23', { awaits: ['req-11'] }), 201);
  await waitUntil(
    'a dependent of a completed job runs',
    async () => (await statusAt(secondApi, 'req-23')) === 'done',
  );
  for (const id of ['req-20', 'req-21', 'req-22']) assert.equal(history.startedAt.has(`${id}/0`), false);
  assert.deepEqual(history.conflicts, []);
});

// Of jobs that ended long ago, controllers keep only the final status in memory; a new leader must load those too.
test('a new leader starts a dependent of a job that finished before its term', async () => {
  await new Promise((done) => setTimeout(done, 1500));
  controllers.shift()?.unsubscribe();
  assert.equal(await submit(secondApi, 'req-30', { awaits: ['req-1', 'req-2'] }), 201);
  await waitUntil('req-30 is done', async () => (await statusAt(secondApi, 'req-30')) === 'done', 15_000);
  assert.equal(await submit(secondApi, 'req-31', { awaits: ['req-21'] }), 201);
  assert.equal(await statusAt(secondApi, 'req-31'), 'cancelled');
});
