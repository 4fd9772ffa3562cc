/** @file The state store refuses the leader alone, then everybody, while users cancel jobs. */
import assert from 'node:assert/strict';
import { after, describe, test } from 'node:test';
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
import { StateStoreStandIn, type StoreEndpoint } from './standins/state-store.js';
import { TaskHistory } from './standins/worker.js';

// The gap between two troubles: the state store refuses the leader alone, the other controller confirms cancellations
// to users, and then the service is down for all, for longer than a cancellation may take, while the workers go on
// reporting to the old leader. Whatever it answers, no lease that it renews may keep one of those tasks.
const WORKERS = { lease_s: 1.5, cancel_s: 5 };
const OUTAGE_MS = 6500;

const cleanups: (() => void)[] = [];
after(() => {
  for (const cleanUp of cleanups) cleanUp();
});

const sleep = (n: number): Promise<void> => new Promise((done) => setTimeout(done, n));
const elapsedMs = (since: bigint): number => Number(process.hrtime.bigint() - since) / 1e6;

interface Scenario {
  readonly stateStore: StateStoreStandIn;
  readonly history: TaskHistory;
  readonly cluster: LoopbackCluster;
  readonly leader: { readonly api: string; readonly endpoint: StoreEndpoint };
  readonly peer: { readonly api: string; readonly endpoint: StoreEndpoint };
}

/** Two controllers, each with an address of its own at the state store, and two tasks that run for good. */
async function startScenario(): Promise<Scenario> {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
  const history = new TaskHistory();
  await stateStore.start();
  const apis = [reserveAddress(), reserveAddress()] as const;
  const cluster = await startCluster(apis, history, () => null);
  for (const worker of cluster.workers) worker.leaseMs = WORKERS.lease_s * 1000;
  const subscriptions: Subscription[] = [];
  cleanups.push(() => {
    for (const subscription of subscriptions) subscription.unsubscribe();
    cluster.stop();
    stateStore.stop();
  });
  const endpoints: StoreEndpoint[] = [];
  for (const [n, api] of apis.entries()) {
    const endpoint = await stateStore.openEndpoint();
    endpoints.push(endpoint);
    subscriptions.push(
      startController(platformSettings(`c${n}`, api, cluster.cloudAddress, endpoint, WORKERS)),
    );
  }
  for (const api of apis) await waitUntilHealthy(api);
  for (const id of ['req-1', 'req-2'])
    assert.equal((await call(apis[0], 'POST', '/work', jobBody(id))).status, 201);
  await waitUntil('both run', () => history.running.size === 2);
  const leaderEntry = [...stateStore.items].find(([k]) => k.includes('/part/'));
  const leaderIndex = (leaderEntry?.[1].value as { label: string }).label === 'c0' ? 0 : 1;
  const controllerAt = (n: number) => ({ api: apis[n] ?? '', endpoint: endpoints[n] ?? assert.fail() });
  return {
    stateStore,
    history,
    cluster,
    leader: controllerAt(leaderIndex),
    peer: controllerAt(1 - leaderIndex),
  };
}

const cancelAtPeer = async (scenario: Scenario): Promise<bigint> => {
  const cancellation = await call(scenario.peer.api, 'POST', '/work/req-1/withdraw');
  assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
  return process.hrtime.bigint();
};

/** Watches until the outage is over; then everybody says the same, and what was not cancelled runs again. */
async function verifyOutcome(scenario: Scenario, cancelledAt: bigint): Promise<void> {
  const limitMs = WORKERS.cancel_s * 1000;
  let lastSeenMs = scenario.history.running.has('req-1/0') ? 0 : null;
  while (elapsedMs(cancelledAt) < OUTAGE_MS) {
    if (scenario.history.running.has('req-1/0')) lastSeenMs = elapsedMs(cancelledAt);
    await sleep(20);
  }
  assert.ok(
    lastSeenMs === null || lastSeenMs < limitMs,
    `the cancelled task was there ${lastSeenMs} ms after the answer`,
  );
  const startedAt = scenario.history.startedAt.get('req-1/0') ?? 0n;
  assert.ok(startedAt < cancelledAt, 'the cancelled task started after the answer');
  scenario.stateStore.down = false;
  scenario.leader.endpoint.refused = false;
  await waitUntil('what was not cancelled runs', () => scenario.history.running.has('req-2/0'));
  for (const { api } of [scenario.leader, scenario.peer])
    await waitUntil(
      'one final state',
      async () => (await call(api, 'GET', '/work/req-1')).body['standing'] === 'cancelled',
    );
  assert.ok(!scenario.history.running.has('req-1/0'));
  assert.deepEqual(scenario.history.conflicts, []);
}

describe('the state store refuses the leader, then everybody', { concurrency: 5 }, () => {
  test('the leader is refused alone, a peer confirms a cancellation, then nobody is served', async () => {
    const scenario = await startScenario();
    scenario.leader.endpoint.refused = true;
    await sleep(100);
    const cancelledAt = await cancelAtPeer(scenario);
    await sleep(200);
    scenario.stateStore.down = true;
    await verifyOutcome(scenario, cancelledAt);
  });

  test('the same, while in between the leader is served again for less than a second', async () => {
    const scenario = await startScenario();
    scenario.leader.endpoint.refused = true;
    const cancelledAt = await cancelAtPeer(scenario);
    await sleep(300);
    // It may answer again, but only once it has read the cancellation.
    scenario.leader.endpoint.refused = false;
    await sleep(700);
    scenario.leader.endpoint.refused = true;
    await sleep(100);
    scenario.stateStore.down = true;
    await verifyOutcome(scenario, cancelledAt);
  });

  test('the leader is served but its watch hangs: it cannot have read the cancellation', async () => {
    const scenario = await startScenario();
    scenario.stateStore.watchesHang = true;
    const cancelledAt = await cancelAtPeer(scenario);
    await sleep(3000);
    scenario.stateStore.down = true;
    scenario.stateStore.watchesHang = false;
    await verifyOutcome(scenario, cancelledAt);
  });

  test('the leader is partitioned for longer than its lease, and jobs are cancelled through the next leader', async () => {
    const scenario = await startScenario();
    const fencingToken = (): number =>
      [...scenario.stateStore.items].find(([k]) => k.includes('/part/'))?.[1].modRevision ?? 0;
    const tokenBefore = fencingToken();
    scenario.leader.endpoint.refused = true;
    await waitUntil('another leader', () => fencingToken() > tokenBefore);
    const cancelledAt = await cancelAtPeer(scenario);
    // Users of the controller that is cut off are refused at once, not told what it remembers.
    const requestedAt = process.hrtime.bigint();
    assert.equal((await call(scenario.leader.api, 'GET', '/work/req-2')).status, 503);
    assert.ok(elapsedMs(requestedAt) < 1000);
    await verifyOutcome(scenario, cancelledAt);
  });

  test('an election transaction is answered late: the new leader answers heartbeats no longer than counted from its sending', async () => {
    const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
    const history = new TaskHistory();
    await stateStore.start();
    const api = reserveAddress();
    const cluster = await startCluster([api], history, () => null);
    const endpoint = await stateStore.openEndpoint();
    let electionSentAt = 0n;
    stateStore.transactionFault = (body) => {
      if (!JSON.stringify(body).includes('/part/') || electionSentAt > 0n) return null;
      electionSentAt = process.hrtime.bigint();
      // What it followed until then has come through; from here on it is refused, but for this one answer.
      setTimeout(() => (endpoint.refused = true), 600);
      return 'held';
    };
    const controller = startController(platformSettings('one', api, cluster.cloudAddress, endpoint, WORKERS));
    cleanups.push(() => {
      controller.unsubscribe();
      cluster.stop();
      stateStore.stop();
    });
    await waitUntil('a claim', () => electionSentAt > 0n);
    const renewedBefore = cluster.workers.map((worker) => worker.lastRenewedAt);
    await sleep(4000);
    // Lease and span are 1.5 s each; a cancellation confirmed right after the claim was carried out has 5 s.
    for (const [n, worker] of cluster.workers.entries())
      if (worker.lastRenewedAt !== renewedBefore[n])
        assert.ok(
          Number(worker.lastRenewedAt - electionSentAt) / 1e6 < 2100,
          `answered ${Number(worker.lastRenewedAt - electionSentAt) / 1e6} ms after the claim was sent`,
        );
  });
});
