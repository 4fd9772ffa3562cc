/** @file Records are encoded and decoded in the bytes of earlier versions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seconds } from '../src/core/model/time.js';
import { decode, encode } from '../src/wire/cbor.js';
import { FrameReader, encodeStatus } from '../src/wire/controller-status-frame.js';
import { decodeFeatures } from '../src/wire/version-record.js';
import { jobKey, pageKey, parseKey, leaderKey, versionKey } from '../src/wire/keys.js';
import { decodeJob, encodeJob } from '../src/wire/job-record.js';
import { decodePage, encodePage } from '../src/wire/page-record.js';
import { jobSpec } from './fixtures/cluster-config.js';

/**
 * Bytes that earlier versions write and read. Stored records and the frames between controllers must not change, because
 * different versions run side by side during an upgrade.
 */
const JOB =
  'o2JzdGljYW5jZWxsZWRiYXR4GDIwMzAtMDEtMDFUMTI6MDA6MDAuMjUwWmFztGJpZGpyZXEtMDAwNDEyZWNsYXNzZXRyYWluZHRlYW1mdmlzaW9u' +
  'ZGtpbmRkZ2FuZ2hwcmlvcml0eWRoaWdoZXRhc2tzEGRjcHVzCGRncHVzAWZtZW1vcnn7QFAgAAAAAABldHlwZXOBYmc4ZHpvbmX2Z29uZVpvbmX1' +
  'ZnNwcmVhZPRkc3BvdPVlaW1hZ2VmaW1nLTA3Z2ltYWdlR2L7QBjMzMzMzM1oZXN0aW1hdGUY8GpjaGVja3BvaW50GB5kc2F2ZQRjZHVlGQOE';
const PAGE = 'east,west,other|req-000412/1 a3 c4,2 0-2,7 4.3.n-000231.2.0,5.2.a%2Eb%2Fc.1.2';
const STATUS = '50520101001601000001a4000000000000004d086865617274682d31';

const record = {
  spec: jobSpec('req-000412', {
    ...{
      class: 'train',
      team: 'vision',
      kind: 'gang',
      priority: 'high',
      taskCount: 16,
      cpus: 8,
      gpus: 1,
      memory: 64.5,
    },
    ...{
      machineTypes: ['g8'],
      singleZone: true,
      allowSpot: true,
      image: 'img-07',
      imageGb: 6.2,
      estimatedDuration: seconds(240),
    },
    ...{ checkpointInterval: seconds(30), checkpointDuration: seconds(4), deadline: seconds(900) },
  }),
  submittedAt: new Date(Date.UTC(2030, 0, 1, 12, 0, 0, 250)),
  status: 'cancelled' as const,
};

test('records and keys are written and read in the bytes of earlier versions', () => {
  assert.equal(encode(encodeJob(record)).toString('base64'), JOB);
  assert.deepEqual(decodeJob(decode(Buffer.from(JOB, 'base64'))), record);
  const assignments = [
    { taskIndex: 4, attempt: 3, machineName: 'n-000231', agentEpoch: 2, zone: 'east' },
    { taskIndex: 5, attempt: 2, machineName: 'a.b/c', agentEpoch: 1, zone: 'other' },
  ];
  const entries = [
    {
      jobId: 'req-000412',
      chunkIndex: 1,
      record: {
        highestAttempt: 3,
        completedTasks: [
          { first: 0, last: 2 },
          { first: 7, last: 7 },
        ],
        assignments,
      },
    },
  ];
  assert.equal(encodePage(entries, ['east', 'west']), PAGE);
  assert.deepEqual(decodePage(PAGE), entries);
  assert.deepEqual(
    [jobKey('req-1'), pageKey('all', 3), leaderKey('all')],
    ['main/job/req-1', 'main/page/all/3', 'main/part/all'],
  );
});

test('peer frames are encoded and decoded in the bytes of earlier versions', () => {
  const status = { label: 'hearth-1', isLeader: true, stateStoreContactMs: 420, fencingToken: 77n };
  assert.equal(encodeStatus(status).toString('hex'), STATUS);
  assert.deepEqual(new FrameReader().push(Buffer.from(STATUS, 'hex')), [status]);
});

/** Copy of the key parser of the version before dependencies. */
function kindInEarlierVersion(key: string): string {
  const [, kind, a, b] = key.split('/');
  if (kind === 'part' && a !== undefined) return 'part';
  if (kind === 'job' && a !== undefined) return 'job';
  if (kind === 'page' && a !== undefined && b !== undefined) return 'page';
  return 'other';
}

// That version skips keys of unknown kinds, whatever their value.
test('supported features are stored under a key that earlier versions ignore', () => {
  assert.equal(kindInEarlierVersion(versionKey('hearth-1')), 'other');
  assert.equal(parseKey(versionKey('hearth-1')).kind, 'version');
  assert.deepEqual(decodeFeatures({ features: ['dependencies', 'later'], more: 1 }), [
    'dependencies',
    'later',
  ]);
  for (const value of [null, 'x', {}, { features: 7 }]) assert.deepEqual(decodeFeatures(value), []);
});

test('dependencies are a separate field in a record, absent if there are none', () => {
  const dependent = { ...record, spec: { ...record.spec, dependencies: ['req-1', 'req-2'] } };
  const written = encodeJob(dependent) as { s: Record<string, unknown> };
  assert.deepEqual(written.s['dependencies'], ['req-1', 'req-2']);
  assert.deepEqual(decodeJob(decode(encode(written))), dependent);
  assert.equal('dependencies' in (encodeJob(record) as { s: object }).s, false);
});
