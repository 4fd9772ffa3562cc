/** @file The state store refuses only the leader, then all controllers, while users cancel jobs. */
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

// Guards against a cancelled task that keeps running: the state store refuses only the leader, its peer confirms a
// cancellation to a user, and then the state store is down for all controllers, for longer than a cancellation may take,
// while the workers keep sending heartbeats to the leader. No worker lease that the leader renews may keep the task
// running longer than that.
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

/** Starts two controllers, each with its own address of the state store, and two tasks that run until stopped. */
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
  await waitUntil('both tasks run', () => history.running.size === 2);
  // The tasks may run before the peer's replica holds the jobs, and a test may hang all watches from here on.
  for (const api of apis)
    for (const id of ['req-1', 'req-2'])
      await waitUntil(
        `the replica of ${api} holds ${id}`,
        async () => (await call(api, 'GET', `/work/${id}`)).status === 200,
      );
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

/**
 * Checks during the outage that the cancelled task stops in time. Then ends the outage and checks that both controllers
 * return the same final status, and that the task that was not cancelled runs again.
 */
async function verifyOutcome(scenario: Scenario, cancelledAt: bigint): Promise<void> {
  const limitMs = WORKERS.cancel_s * 1000;
  let lastSeenMs = scenario.history.running.has('req-1/0') ? 0 : null;
  while (elapsedMs(cancelledAt) < OUTAGE_MS) {
    if (scenario.history.running.has('req-1/0')) lastSeenMs = elapsedMs(cancelledAt);
    await sleep(20);
  }
  assert.ok(
    lastSeenMs === null || lastSeenMs < limitMs,
    `the cancelled task still ran ${lastSeenMs} ms after the response`,
  );
  const startedAt = scenario.history.startedAt.get('req-1/0') ?? 0n;
  assert.ok(startedAt < cancelledAt, 'the cancelled task started after the response');
  scenario.stateStore.down = false;
  scenario.leader.endpoint.refused = false;
  await waitUntil('the task that was not cancelled runs', () => scenario.history.running.has('req-2/0'));
  for (const { api } of [scenario.leader, scenario.peer])
    await waitUntil(
      'the final status is cancelled',
      async () => (await call(api, 'GET', '/work/req-1')).body['standing'] === 'cancelled',
    );
  assert.ok(!scenario.history.running.has('req-1/0'));
  assert.deepEqual(scenario.history.conflicts, []);
}

describe('the state store refuses the leader, then all controllers', { concurrency: 5 }, () => {
  test('only the leader is refused, its peer confirms a cancellation, then all controllers are refused', async () => {
    const scenario = await startScenario();
    scenario.leader.endpoint.refused = true;
    await sleep(100);
    const cancelledAt = await cancelAtPeer(scenario);
    await sleep(200);
    scenario.stateStore.down = true;
    await verifyOutcome(scenario, cancelledAt);
  });

  test('the same, but in between the leader is served again for less than a second', async () => {
    const scenario = await startScenario();
    scenario.leader.endpoint.refused = true;
    const cancelledAt = await cancelAtPeer(scenario);
    await sleep(300);
    // The leader may answer heartbeats again, but only after it has read the cancellation.
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
    // The partitioned controller refuses users at once instead of answering from its outdated memory.
    const requestedAt = process.hrtime.bigint();
    assert.equal((await call(scenario.leader.api, 'GET', '/work/req-2')).status, 503);
    assert.ok(elapsedMs(requestedAt) < 1000);
    await verifyOutcome(scenario, cancelledAt);
  });

  test('an election transaction is answered late: the acknowledgement window counts from the sending of the transaction', async () => {
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
      // By then the controller has received all earlier changes; from then on it is refused, except for this response.
      setTimeout(() => (endpoint.refused = true), 600);
      return 'late-response';
    };
    const controller = startController(platformSettings('one', api, cluster.cloudAddress, endpoint, WORKERS));
    cleanups.push(() => {
      controller.unsubscribe();
      cluster.stop();
      stateStore.stop();
    });
    await waitUntil('an election transaction', () => electionSentAt > 0n);
    const renewedBefore = cluster.workers.map((worker) => worker.lastRenewedAt);
    await sleep(4000);
    // Worker lease and acknowledgement window are 1.5 s each; a cancellation confirmed right after the election
    // transaction was committed must take effect within 5 s.
    for (const [n, worker] of cluster.workers.entries())
      if (worker.lastRenewedAt !== renewedBefore[n])
        assert.ok(
          Number(worker.lastRenewedAt - electionSentAt) / 1e6 < 2100,
          `answered ${Number(worker.lastRenewedAt - electionSentAt) / 1e6} ms after the election transaction was sent`,
        );
  });
});
