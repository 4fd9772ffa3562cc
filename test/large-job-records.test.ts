/** @file Records of jobs that an earlier version accepted under larger limits of the state store than the present ones. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { seconds } from '../src/core/model/time.js';
import type { JobRecord } from '../src/core/model/job.js';
import { decodeJob, encodeFinishedJob, encodeJob, storedBytes } from '../src/wire/job-record.js';
import { jobKey } from '../src/wire/keys.js';
import { jobSpec } from './fixtures/cluster-config.js';
import {
  jobBody,
  platformSettings,
  reserveAddress,
  startCluster,
  startController,
  waitUntil,
  waitUntilHealthy,
} from './standins/cluster.js';
import { call } from './standins/http.js';
import { StateStoreStandIn } from './standins/state-store.js';
import { TaskHistory } from './standins/worker.js';

const LOWERED_BYTES = 2048;

const cleanups: (() => void)[] = [];
after(() => {
  for (const cleanUp of cleanups) cleanUp();
});

/** A record that is larger than the lowered limit, and may become so by each of its fields of unbounded length. */
function largeRecord(id: string): JobRecord {
  const spec = jobSpec(id, {
    class: 'class-'.repeat(200),
    machineTypes: ['big', ...Array.from({ length: 60 }, (_, n) => `another-type-of-machine-${n}`)],
    image: 'image-'.repeat(200),
    estimatedDuration: seconds(1),
  });
  return { spec, submittedAt: new Date(Date.UTC(2030, 0, 1)), status: 'open' };
}

test('the record of a finished job fits the limit, and keeps what its running tasks take', () => {
  for (const status of ['done', 'cancelled'] as const) {
    const record = { ...largeRecord('req-1'), status };
    const { spec } = record;
    const stored = encodeFinishedJob(record, LOWERED_BYTES);
    assert.ok(storedBytes(stored) <= LOWERED_BYTES);
    const expected = { ...spec, class: '', machineTypes: null, image: '', imageGb: 0 };
    assert.deepEqual(decodeJob(stored), { ...record, spec: expected });
    assert.deepEqual(encodeFinishedJob(record, storedBytes(encodeJob(record))), encodeJob(record));
  }
});

/** Guards against left_waiting: the write of one job's end got 400 for ever, and nothing was committed after it. */
test('after the limits are lowered, jobs with larger records are done or cancelled, and other jobs run', async () => {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 8192 });
  await stateStore.start();
  for (const id of ['req-1', 'req-2'])
    stateStore.commit({
      guards: [],
      writes: [{ write: jobKey(id), value: encodeJob(largeRecord(id)) }],
    });
  stateStore.limits.valueBytes = LOWERED_BYTES;
  const history = new TaskHistory();
  const api = reserveAddress();
  const cluster = await startCluster([api], history, (task) => (task === 'req-1/0' ? 100 : null));
  const settings = platformSettings('c0', api, cluster.cloudAddress, stateStore);
  settings.facts.state.next = { value_kb: LOWERED_BYTES / 1024 };
  const controller = startController(settings);
  cleanups.push(() => {
    controller.unsubscribe();
    cluster.stop();
    stateStore.stop();
  });
  await waitUntilHealthy(api);
  const statusOf = async (id: string): Promise<unknown> =>
    (await call(api, 'GET', `/work/${id}`)).body['standing'];
  await waitUntil('req-1 is done', async () => (await statusOf('req-1')) === 'done');
  await waitUntil('req-2 runs', () => history.running.has('req-2/0'));
  const cancellation = await call(api, 'POST', '/work/req-2/withdraw');
  assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
  await waitUntil('req-2 is stopped', () => !history.running.has('req-2/0'));
  assert.equal((await call(api, 'POST', '/work', jobBody('req-3'))).status, 201);
  await waitUntil('req-3 runs', () => history.running.has('req-3/0'));
});
