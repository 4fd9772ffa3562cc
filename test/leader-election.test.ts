/** @file A controller that restarts within a second, at each step of an election and a failover. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
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
  type LoopbackCluster,
} from './standins/cluster.js';
import { StateStoreStandIn } from './standins/state-store.js';
import { TaskHistory } from './standins/worker.js';

// Guards against effects of a controller's earlier process after it restarts within a fraction of a second, at each step
// of an election and failover: its state store lease is still alive, and late copies of its requests arrive.
type TransactionBody = { writes: { write?: string }[] };
const writesToKey = (body: Record<string, unknown>, keyPart: string): boolean =>
  (body as unknown as TransactionBody).writes.some((w) => w.write?.includes(keyPart) === true);

const STEPS = {
  'its election transaction was committed, the response lost': { key: '/part/', fault: 'lost' },
  'its election transaction is committed late': { key: '/part/', fault: 'late' },
  'its first assignments were committed, the response lost': { key: '/page/', fault: 'lost' },
  'its first assignments are committed late': { key: '/page/', fault: 'late' },
} as const;

const cleanups: (() => void)[] = [];
after(() => {
  for (const cleanUp of cleanups) cleanUp();
});

for (const [step, { key, fault }] of Object.entries(STEPS))
  test(`restart within a second: ${step}`, async () => {
    const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
    const history = new TaskHistory();
    await stateStore.start();
    const api = reserveAddress();
    const cluster = await startCluster([api], history, () => 150);
    const settings = platformSettings('one', api, cluster.cloudAddress, stateStore);
    let controller: Subscription | null = null;
    cleanups.push(() => {
      controller?.unsubscribe();
      cluster.stop();
      stateStore.stop();
    });
    let faultInjected = false;
    stateStore.transactionFault = (body) => {
      if (faultInjected || !writesToKey(body, key)) return null;
      faultInjected = true;
      return fault;
    };
    controller = startController(settings);
    if (key === '/page/') {
      await waitUntilHealthy(api);
      assert.equal((await call(api, 'POST', '/work', jobBody('req-1', { tickets: 2 }))).status, 201);
    }
    await waitUntil('the fault is injected', () => faultInjected);
    // The process ends without revoking its state store lease, which therefore lasts until it expires.
    controller.unsubscribe();
    const earlierTransactions = [...stateStore.transactions];
    controller = startController(settings);
    await waitUntilHealthy(api);
    assert.ok((await call(api, 'POST', '/work', jobBody('req-2', { tickets: 2 }))).status < 300);
    await waitUntil('a leader key is stored', () =>
      [...stateStore.items.keys()].some((k) => k.includes('/part/')),
    );
    for (const id of key === '/page/' ? ['req-1', 'req-2'] : ['req-2'])
      await waitUntil(
        `${id} done`,
        async () => (await call(api, 'GET', `/work/${id}`)).body['standing'] === 'done',
      );
    // Late copies of all transactions of the earlier process: none of them is committed any more.
    const revision = stateStore.revision;
    for (const body of earlierTransactions)
      if ((body as unknown as TransactionBody).writes.length > 0) stateStore.commit(body);
    assert.equal(stateStore.revision, revision, 'a late copy changed something');
    // The earlier process's lease ends, by expiry or by its own late request: the new leader's key is not bound to it.
    stateStore.expireLease(1);
    assert.equal(stateStore.revision, revision, "a key still depended on the earlier process's lease");
    assert.deepEqual(history.conflicts, []);
    controller.unsubscribe();
  });

/** More than both processes request, so that a late request and a copy of one find capacity. */
const SPARE_MACHINES = 12;

for (const fault of ['lost', 'late'] as const)
  test(`restart within a second: its scale-out ${fault === 'lost' ? 'was executed, the response lost' : 'is executed late'}`, async () => {
    const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
    const history = new TaskHistory();
    await stateStore.start();
    const api = reserveAddress();
    const cluster = await startCluster(
      [api],
      history,
      (task) => (task.startsWith('req-9') ? null : 150),
      SPARE_MACHINES,
    );
    const settings = platformSettings('one', api, cluster.cloudAddress, stateStore);
    let controller: Subscription | null = null;
    cleanups.push(() => {
      controller?.unsubscribe();
      cluster.stop();
      stateStore.stop();
    });
    cluster.scaleOutFault = fault;
    controller = startController(settings);
    await waitUntilHealthy(api);
    // Two machines hold four tasks: the fifth and sixth need a third machine.
    assert.equal(
      (await call(api, 'POST', '/work', jobBody('req-90', { shape: 'service', tickets: 4 }))).status,
      201,
    );
    assert.equal(
      (await call(api, 'POST', '/work', jobBody('req-91', { shape: 'service', desk: 'blue', tickets: 2 })))
        .status,
      201,
    );
    const scaleOutRequests = (): LoopbackCluster['scaleRequests'] =>
      cluster.scaleRequests.filter((c) => c.path === '/machines');
    await waitUntil('a scale-out request', () => scaleOutRequests().length > 0);
    controller.unsubscribe();
    const earlierRequests = [...scaleOutRequests()];
    cluster.scaleOutFault = null;
    controller = startController(settings);
    // The machine is found and used, no matter which process requested it.
    await waitUntil('all six tasks run', () => history.running.size === 6, 20_000);
    // The late request is executed eventually, whether before or after the new process's request.
    await waitUntil('all scale-outs are executed', () =>
      earlierRequests.every((c) => cluster.scaleOuts.has(c.body['hire'] as string)),
    );
    // Request names are never reused by another process; a copy of an earlier request adds no machines.
    const machineCount = cluster.workers.length;
    for (const c of earlierRequests) await cluster.applyScaleRequest(c.path, c.body);
    assert.equal(cluster.workers.length, machineCount, 'a late copy added machines');
    const requestNames = scaleOutRequests().map((c) => c.body['hire'] as string);
    const earlierNames = new Set(earlierRequests.map((c) => c.body['hire'] as string));
    for (const name of requestNames.slice(earlierRequests.length))
      assert.ok(!earlierNames.has(name), `${name} was used again`);
    // A scale-in requested by the earlier process arrives late, when tasks run on the machine: they restart elsewhere.
    const busy = cluster.workers.find((worker) => worker.runningTasks > 0);
    assert.ok(busy !== undefined);
    const lostTasks = [...history.running].filter(([, at]) => at === busy.name).map(([t]) => t);
    await cluster.applyScaleRequest('/machines/return', { rigs: [busy.name] });
    for (const task of lostTasks) history.running.delete(task);
    await waitUntil('all six tasks run again', () => history.running.size === 6, 30_000);
    assert.deepEqual(history.conflicts, []);
    controller.unsubscribe();
  });
