/** @file Interactions of two faults at a time, between whole controllers and a state store on loopback. */
import assert from 'node:assert/strict';
import { after, describe, test } from 'node:test';
import { call } from './standins/http.js';
import { jobBody, platformSettings, reserveAddress, startController, waitUntil } from './standins/cluster.js';
import {
  onStop,
  startTestService,
  statusAt,
  stopTestServices,
  type TestService,
} from './standins/service.js';

after(stopTestServices);

const sleep = (n: number): Promise<void> => new Promise((done) => setTimeout(done, n));

const writesText = (body: Record<string, unknown>): string => JSON.stringify(body['writes']);

/** Polls every controller until `stop`, and records the first final status and every status returned after it. */
function observeStatuses(
  service: TestService,
  id: string,
): { readonly statuses: Set<unknown>; stop(): Promise<void> } {
  const statuses = new Set<unknown>();
  let stopped = false;
  const polls = service.apis.map(async (api) => {
    while (!stopped) {
      const status = await statusAt(api, id);
      if (status === 'done' || status === 'cancelled') statuses.add(status);
      else if (statuses.size > 0 && status !== undefined) statuses.add(status);
      await sleep(15);
    }
  });
  return {
    statuses,
    stop: async () => {
      stopped = true;
      await Promise.all(polls);
    },
  };
}

describe('interactions of two faults', { concurrency: 6 }, () => {
  test('a cancellation is committed after the last task is done: every controller reports the job as done', async () => {
    const service = await startTestService({ controllers: 2, taskDurationMs: () => 200 });
    const [one = '', two = ''] = service.apis;
    assert.equal((await call(one, 'POST', '/work', jobBody('req-1', { tickets: 2 }))).status, 201);
    const observer = observeStatuses(service, 'req-1');
    service.stateStore.transactionFault = (b) => (writesText(b).includes('"cancelled"') ? 'slow' : null);
    service.stateStore.slowCommitMs = 900;
    const pendingCancellation = call(two, 'POST', '/work/req-1/withdraw');
    await waitUntil('req-1 is done', async () => (await statusAt(one, 'req-1')) === 'done');
    const repeated = await call(two, 'POST', '/work', jobBody('req-1', { tickets: 0 }));
    assert.deepEqual([repeated.status, repeated.body['standing']], [200, 'done']);
    const cancellation = await pendingCancellation;
    assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'done']);
    await sleep(300);
    await observer.stop();
    assert.deepEqual([...observer.statuses], ['done']);
  });

  test('the last task is committed after a cancellation: every controller reports the job as cancelled', async () => {
    const service = await startTestService({ controllers: 2, taskDurationMs: () => 200 });
    const [one = '', two = ''] = service.apis;
    let completionSent = false;
    service.stateStore.transactionFault = (body) => {
      if (!writesText(body).includes('"done"')) return null;
      completionSent = true;
      return 'slow';
    };
    service.stateStore.slowCommitMs = 600;
    assert.equal((await call(one, 'POST', '/work', jobBody('req-1', { tickets: 2 }))).status, 201);
    const observer = observeStatuses(service, 'req-1');
    await waitUntil('the completion is sent', () => completionSent);
    const cancellation = await call(two, 'POST', '/work/req-1/withdraw');
    assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
    await sleep(900);
    await observer.stop();
    assert.deepEqual([...observer.statuses], ['cancelled']);
  });

  test('a transaction without a response while the watch hangs: its pages can still be written', async () => {
    const service = await startTestService({ taskDurationMs: () => 150 });
    const [api = ''] = service.apis;
    let faultInjected = false;
    service.stateStore.transactionFault = (body) => {
      if (faultInjected || !writesText(body).includes('/page/')) return null;
      faultInjected = true;
      service.stateStore.watchesHang = true;
      return 'lost';
    };
    assert.equal((await call(api, 'POST', '/work', jobBody('req-1', { tickets: 2 }))).status, 201);
    await waitUntil('the fault is injected', () => faultInjected);
    const fencingToken = (): number =>
      [...service.stateStore.items].find(([k]) => k.includes('/part/'))?.[1].modRevision ?? 0;
    const tokenBefore = fencingToken();
    await sleep(3500);
    service.stateStore.watchesHang = false;
    await waitUntil('req-1 is done', async () => (await statusAt(api, 'req-1')) === 'done', 15_000);
    assert.equal(fencingToken(), tokenBefore, 'the leader kept its term');
    assert.deepEqual(service.history.conflicts, []);
  });

  test('all controllers are down for longer than the lease, one restarts, is killed in its election, and restarts at once', async () => {
    const service = await startTestService({
      controllers: 2,
      taskDurationMs: () => null,
      workers: { lease_s: 1.5, cancel_s: 5 },
    });
    const [one = '', two = ''] = service.apis;
    for (const id of ['req-1', 'req-2', 'req-3'])
      assert.equal((await call(one, 'POST', '/work', jobBody(id))).status, 201);
    await waitUntil('all three tasks run', () => service.history.running.size === 3);
    const cancellation = await call(two, 'POST', '/work/req-1/withdraw');
    assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
    const cancelledAt = process.hrtime.bigint();
    service.stop(0);
    service.stop(1);
    await waitUntil('the worker leases expired', () => service.history.running.size === 0, 4500);
    await sleep(500);
    let electionAttempts = 0;
    service.stateStore.transactionFault = (body) => {
      if (!writesText(body).includes('/part/')) return null;
      electionAttempts += 1;
      return electionAttempts === 1 ? 'late' : null;
    };
    service.start(0);
    await waitUntil('an election transaction', () => electionAttempts > 0, 15_000);
    service.stop(0);
    service.start(0);
    await waitUntil('both tasks run again', () => service.history.running.size === 2, 20_000);
    for (const id of ['req-2', 'req-3']) {
      const response = await call(one, 'GET', `/work/${id}`);
      assert.deepEqual([response.status, response.body['standing']], [200, 'running'], id);
    }
    assert.equal(await statusAt(one, 'req-1'), 'cancelled');
    assert.ok(
      (service.history.startedAt.get('req-1/0') ?? 0n) < cancelledAt,
      'started after its cancellation',
    );
    assert.deepEqual(service.history.conflicts, []);
  });

  test('a start that is queued behind a slow call is not sent once its job is cancelled', async () => {
    const service = await startTestService({ taskDurationMs: () => null });
    const [api = ''] = service.apis;
    assert.equal((await call(api, 'POST', '/work', jobBody('req-0', { tickets: 2, gpus: 0 }))).status, 201);
    await waitUntil(
      'the workers have sent heartbeats and run tasks',
      () => service.history.running.size === 2,
    );
    // Workers respond to direct calls late, and their heartbeats are lost: the second start waits behind the first.
    for (const worker of service.cluster.workers)
      [worker.responseDelayMs, worker.outboundLost] = [1200, true];
    assert.equal((await call(api, 'POST', '/work', jobBody('req-1', { tickets: 3 }))).status, 201);
    await sleep(300);
    assert.equal((await call(api, 'POST', '/work', jobBody('req-2'))).status, 201);
    await sleep(400);
    const cancellation = await call(api, 'POST', '/work/req-2/withdraw');
    assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
    const cancelledAt = process.hrtime.bigint();
    await sleep(3000);
    assert.ok(
      (service.history.startedAt.get('req-2/0') ?? 0n) <= cancelledAt,
      'started after its cancellation',
    );
  });

  test('invalid submissions get the same status at every controller, but one without machine types cannot decide yet whether one fits', async () => {
    const service = await startTestService({ taskDurationMs: () => null });
    const [readyApi = ''] = service.apis;
    assert.equal((await call(readyApi, 'POST', '/work', jobBody('req-1', { shape: 'service' }))).status, 201);
    // The first controller must lead before the second one starts, because the second, without machine types, could win
    // the election but assign no tasks.
    await waitUntil('the workers have received its responses', () =>
      service.cluster.workers.every((worker) => worker.fencingToken > 0),
    );
    // A second controller that reaches the state store, but has no machine types yet.
    const newApi = reserveAddress();
    const unreachableCloud = reserveAddress();
    const subscription = startController(
      platformSettings('c9', newApi, unreachableCloud, service.stateStore),
    );
    onStop(() => subscription.unsubscribe());
    await waitUntil(
      'the second controller serves reads',
      async () => (await call(newApi, 'GET', '/work/req-1').catch(() => null))?.status === 200,
    );
    const withoutField = (key: string): unknown =>
      Object.fromEntries(Object.entries(jobBody('req-2')).filter(([name]) => name !== key));
    const malformed: unknown[] = [
      ...Object.keys(jobBody('req-2')).map(withoutField),
      ...[{ tickets: 0 }, { tickets: 100_001 }, { tickets: 1.5 }, { tickets: '2' }, { vcpus: -1 }].map((o) =>
        jobBody('req-2', o),
      ),
      ...[{ memGb: Infinity }, { gpus: NaN }, { expectedS: 1e300 }, { shape: 'set' }, { builds: [] }].map(
        (o) => jobBody('req-2', o),
      ),
    ];
    const rejectedBySettings = [
      { desk: 'nobody' },
      { shape: 'service', tickets: 5 },
      { shape: 'ensemble', tickets: 5 },
      { gpus: 5 },
    ];
    const fitsNoMachineType = [
      { gpus: 3 },
      { vcpus: 9 },
      { memGb: 65 },
      { builds: ['small'] },
      { hall: 'north' },
    ];
    const submissionStatus = async (api: string, body: unknown): Promise<number> =>
      (await call(api, 'POST', '/work', body)).status;
    const expectStatus = (api: string, bodies: readonly unknown[], expected: number): Promise<unknown> =>
      Promise.all(
        bodies.map(async (b) =>
          assert.equal(await submissionStatus(api, b), expected, `${api} ${JSON.stringify(b)}`),
        ),
      );
    const bodiesFor = (id: string, variants: readonly Record<string, unknown>[]): unknown[] =>
      variants.map((o) => jobBody(id, o));
    for (const api of [readyApi, newApi]) {
      await expectStatus(api, malformed, 400);
      await expectStatus(api, bodiesFor('req-2', rejectedBySettings), 422);
      await expectStatus(api, bodiesFor('req-2', fitsNoMachineType), api === readyApi ? 422 : 503);
      // A repeated submission of an accepted job gets the job's status, whatever else its body contains.
      await expectStatus(
        api,
        bodiesFor('req-1', [...rejectedBySettings, ...fitsNoMachineType, { tickets: -1 }, { vcpus: 'x' }]),
        200,
      );
      assert.equal((await call(api, 'GET', '/work/req-2')).status, 404);
      assert.equal((await call(api, 'POST', '/work/req-2/withdraw')).status, 404);
    }
    const undecided = await call(newApi, 'POST', '/work', jobBody('req-2'));
    assert.deepEqual([undecided.status, undecided.retryAfter !== undefined], [503, true]);
    // A malformed heartbeat gets 400, and the controller keeps running.
    for (const recallS of [Infinity, 1e300, -1, 'soon'])
      assert.equal(
        (
          await call(readyApi, 'POST', '/hello', {
            rig: 'n-1',
            endpoint: 'x:1',
            build: 'big',
            hall: 'east',
            loaners: false,
            shift: 1,
            tick: 1,
            baton: 0,
            recallS,
            tickets: [],
          })
        ).status,
        400,
        String(recallS),
      );
    // On a busy machine, the assignment of the accepted job may be recorded only after all of the above.
    await waitUntil('req-1 runs', async () => (await statusAt(readyApi, 'req-1')) === 'running');
  });
});
