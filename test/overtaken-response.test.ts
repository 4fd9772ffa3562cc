/** @file A direct call to a worker overtakes the response to its heartbeat, between a whole controller and workers. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { jobBody, waitUntil } from './standins/cluster.js';
import { WorkerCommandSender, type CommandResult } from '../src/edge/workers/worker-command-sender.js';
import { call, listen } from './standins/http.js';
import { onStop, startTestService, stopTestServices } from './standins/service.js';
import type { CommandsBody, WorkerStandIn } from './standins/worker.js';

/**
 * Heartbeats of another worker that the leader answers before the held response is released: time enough for it to
 * start the gang again if it takes the task for absent.
 */
const HEARTBEATS_WHILE_HELD = 10;

/** Image whose fetch takes longer than the tasks of a gang wait for each other without a staggered start. */
const LARGE_IMAGE = { bundle: 'large', pullGb: 30 };

after(stopTestServices);

/** Holds up the next response that carries a start to a worker. */
function holdNextStart(worker: WorkerStandIn): { readonly isHeld: () => boolean; release(): void } {
  let held = false;
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => (release = resolve));
  worker.holdResponse = ({ orders }: CommandsBody) => {
    if (held || orders?.some(({ verb }) => verb === 'run') !== true) return null;
    held = true;
    return released;
  };
  return { isHeld: () => held, release };
}

const submit = async (api: string, id: string, overrides: Record<string, unknown>): Promise<void> =>
  assert.equal((await call(api, 'POST', '/work', jobBody(id, overrides))).status, 201);

const isUsed = (worker: WorkerStandIn) => (): boolean => worker.fencingToken > 0;

/** Guards against ran_twice: absence from the answer to a direct stop counted although the start was still under way. */
test('a direct stop overtakes the response with the start: the task starts nowhere else until it is proven gone', async () => {
  const { apis, cluster, history } = await startTestService({
    taskDurationMs: (task) => (task.startsWith('req-1/') ? 50 : null),
  });
  const [api = ''] = apis;
  const [east, west] = cluster.workers;
  assert.ok(east !== undefined && west !== undefined);
  // The first machine in east gets the image, so its task of the gang is started last: in the response to a heartbeat.
  await submit(api, 'req-1', { hall: 'east', ...LARGE_IMAGE });
  await waitUntil('req-1 has run', () => history.startCount === 1 && history.running.size === 0);
  const preempted = await cluster.addWorker('east');
  await waitUntil('the second machine in east is used', isUsed(preempted));
  const start = holdNextStart(east);
  const gang = { shape: 'ensemble', tickets: 2, gpus: 2, oneZone: true, expectedS: 600 };
  await submit(api, 'req-2', { ...gang, ...LARGE_IMAGE });
  await waitUntil('the start is held up', start.isHeld);
  // From here on there is room for the gang in west, and the preemption notice makes the leader stop it.
  const spare = await cluster.addWorker('west');
  await waitUntil('the second machine in west is used', isUsed(spare));
  preempted.preemptionNoticeS = 5;
  await waitUntil('the direct stop has overtaken the start', () => east.directStops > 0);
  const answeredAtStop = spare.answeredHeartbeats;
  await waitUntil(
    'the leader has gone on',
    () => spare.answeredHeartbeats >= answeredAtStop + HEARTBEATS_WHILE_HELD,
  );
  start.release();
  await waitUntil('the gang runs in west', () => west.runningTasks + spare.runningTasks === 2);
  assert.deepEqual(history.conflicts, []);
});

/** Guards against ran_twice: an old answer that comes late must not count as one to a call after the response expired. */
test('a direct call is dated by its sending, not by its answer', async () => {
  let receivedAt = 0n;
  let answer = (): void => undefined;
  const worker = await listen(() => {
    receivedAt = process.hrtime.bigint();
    return new Promise((resolve) => (answer = () => resolve({ status: 200, body: {} })));
  });
  let result: CommandResult | null = null;
  const sender = new WorkerCommandSender(
    1,
    () => 1,
    () => true,
    (received) => (result = received),
  );
  const subscription = sender.start();
  onStop(() => {
    subscription.unsubscribe();
    worker.close();
  });
  const pushedAt = process.hrtime.bigint();
  sender.push({ machineName: 'm1', endpoint: worker.address, agentEpoch: 1, commands: [] });
  await waitUntil('the worker has the call', () => receivedAt > 0n);
  answer();
  await waitUntil('the answer', () => result !== null);
  const { calledAt, outcome } = result as unknown as CommandResult;
  assert.equal(outcome, 'executed');
  assert.ok(pushedAt <= calledAt && calledAt <= receivedAt);
});
