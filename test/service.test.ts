/** @file The whole service on loopback: two controllers, a state store, a cloud and two workers. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { Subscription } from 'rxjs';
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
let userApi = '';
let secondApi = '';

const waitForStatus = async (id: string, status: string): Promise<true> =>
  waitUntil(
    `${id} ${status}`,
    async () => (await call(userApi, 'GET', `/work/${id}`)).body['standing'] === status,
  );

before(async () => {
  await stateStore.start();
  userApi = reserveAddress();
  secondApi = reserveAddress();
  const cluster = await startCluster([userApi, secondApi], history, (task) =>
    task.startsWith('req-9') ? null : 150,
  );
  clusters.push(cluster);
  for (const [label, api] of [
    ['one', userApi],
    ['two', secondApi],
  ] as const)
    controllers.push(startController(platformSettings(label, api, cluster.cloudAddress, stateStore)));
  for (const api of [userApi, secondApi]) await waitUntilHealthy(api);
});

after(() => {
  for (const subscription of controllers) subscription.unsubscribe();
  for (const cluster of clusters) cluster.stop();
  stateStore.stop();
});

test('invalid requests are refused: 400, 422, 404, 405', async () => {
  assert.equal((await call(userApi, 'POST', '/work', Buffer.from('not cbor at all'))).status, 400);
  assert.equal((await call(userApi, 'POST', '/work', ['a list'])).status, 400);
  assert.equal((await call(userApi, 'POST', '/work', Buffer.alloc(70_000))).status, 400);
  assert.equal((await call(userApi, 'POST', '/work', jobBody('req-1', { tickets: 0 }))).status, 400);
  assert.equal((await call(userApi, 'POST', '/work', jobBody('req-1', { desk: 'nobody' }))).status, 422);
  assert.equal((await call(userApi, 'POST', '/work', jobBody('req-1', { gpus: 3 }))).status, 422);
  assert.equal(
    (await call(userApi, 'POST', '/work', jobBody('req-1', { shape: 'service', tickets: 5 }))).status,
    422,
  );
  assert.equal((await call(userApi, 'GET', '/work/req-1')).status, 404);
  assert.equal((await call(userApi, 'DELETE', '/work')).status, 405);
  assert.equal((await call(userApi, 'GET', '/elsewhere')).status, 404);
});

test('a job array runs to completion through either controller, and a repeated submission gets its status whatever it contains', async () => {
  assert.equal((await call(secondApi, 'POST', '/work', jobBody('req-2', { tickets: 6 }))).status, 201);
  await waitForStatus('req-2', 'done');
  const repeated = await call(secondApi, 'POST', '/work', jobBody('req-2', { tickets: -1 }));
  assert.deepEqual([repeated.status, repeated.body['standing']], [200, 'done']);
});

test('a gang completes and a service is cancelled, and none of their tasks is left', async () => {
  assert.equal(
    (await call(userApi, 'POST', '/work', jobBody('req-3', { shape: 'ensemble', tickets: 3 }))).status,
    201,
  );
  await waitForStatus('req-3', 'done');
  assert.equal(
    (await call(userApi, 'POST', '/work', jobBody('req-90', { shape: 'service', tickets: 2, spread: true })))
      .status,
    201,
  );
  const bothRun = (): boolean => history.running.has('req-90/0') && history.running.has('req-90/1');
  await waitUntil('both service replicas run', () => bothRun());
  const cancellation = await call(secondApi, 'POST', '/work/req-90/withdraw');
  assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
  await waitUntil('both service replicas have ended', () => history.running.size === 0);
  assert.equal((await call(userApi, 'POST', '/work/req-90/withdraw')).body['standing'], 'cancelled');
});

test('during an outage of the state store, final statuses are served and everything else is refused at once', async () => {
  stateStore.down = true;
  assert.equal((await call(userApi, 'GET', '/work/req-2')).body['standing'], 'done');
  const sentAt = process.hrtime.bigint();
  const response = await call(userApi, 'POST', '/work', jobBody('req-4'));
  assert.equal(response.status, 503);
  assert.equal(response.retryAfter, '1');
  assert.ok(process.hrtime.bigint() - sentAt < 2_000_000_000n);
  assert.equal((await call(userApi, 'GET', '/work/req-4')).status, 503);
  stateStore.down = false;
  await waitUntil(
    'accepted after the outage',
    async () => (await call(userApi, 'POST', '/work', jobBody('req-4'))).status < 300,
  );
  await waitForStatus('req-4', 'done');
});

test('failover: the standby takes over, and accepted jobs run', async () => {
  const leaderEntry = [...stateStore.items].find(([k]) => k.includes('/part/'));
  const leaderLabel = (leaderEntry?.[1].value as { label: string }).label;
  const standbyApi = leaderLabel === 'one' ? secondApi : userApi;
  assert.equal((await call(standbyApi, 'POST', '/work', jobBody('req-5', { tickets: 4 }))).status, 201);
  controllers[leaderLabel === 'one' ? 0 : 1]?.unsubscribe();
  const previousToken = leaderEntry?.[1].modRevision ?? 0;
  userApi = standbyApi;
  await waitForStatus('req-5', 'done');
  const currentItem = [...stateStore.items].find(([k]) => k.includes('/part/'))?.[1];
  assert.ok((currentItem?.modRevision ?? 0) > previousToken, 'the new term has a higher fencing token');
});

test('no task ran on two machines', () => {
  assert.ok(history.startCount >= 16);
  assert.deepEqual(history.conflicts, []);
});
