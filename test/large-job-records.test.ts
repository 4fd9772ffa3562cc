/** @file Records of jobs that an earlier version accepted under larger limits of the state store than the present ones. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { seconds } from '../src/core/model/time.js';
import type { JobRecord } from '../src/core/model/job.js';
import { decodeJob, encodeFinishedJob, encodeJob, storedBytes } from '../src/wire/job-record.js';
import { jobKey } from '../src/wire/keys.js';
import { jobSpec } from './fixtures/cluster-config.js';
import { jobBody, waitUntil } from './standins/cluster.js';
import { call } from './standins/http.js';
import { startStateStore, startTestService, statusAt, stopTestServices } from './standins/service.js';

const LOWERED_BYTES = 2048;

after(stopTestServices);

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
  const stateStore = await startStateStore(8192);
  for (const id of ['req-1', 'req-2'])
    stateStore.commit({
      guards: [],
      writes: [{ write: jobKey(id), value: encodeJob(largeRecord(id)) }],
    });
  stateStore.limits.valueBytes = LOWERED_BYTES;
  const { apis, history } = await startTestService({
    stateStore,
    taskDurationMs: (task) => (task === 'req-1/0' ? 100 : null),
    announcedLimits: { value_kb: LOWERED_BYTES / 1024 },
  });
  const [api = ''] = apis;
  await waitUntil('req-1 is done', async () => (await statusAt(api, 'req-1')) === 'done');
  await waitUntil('req-2 runs', () => history.running.has('req-2/0'));
  const cancellation = await call(api, 'POST', '/work/req-2/withdraw');
  assert.deepEqual([cancellation.status, cancellation.body['standing']], [200, 'cancelled']);
  await waitUntil('req-2 is stopped', () => !history.running.has('req-2/0'));
  assert.equal((await call(api, 'POST', '/work', jobBody('req-3'))).status, 201);
  await waitUntil('req-3 runs', () => history.running.has('req-3/0'));
});
