/** @file The stored bytes of each kind of record, as literals. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeZones, encodeZones, type ZoneHealth } from '../packages/zone-recovery/src/index.js';
import type { JobRecord, JobSpec } from '../src/core/model/job.js';
import type { PageEntry } from '../src/core/model/records.js';
import { seconds, type Timestamp } from '../src/core/model/time.js';
import { encode } from '../src/wire/cbor.js';
import {
  MAX_FRAME_BYTES,
  FrameReader,
  encodeStatus,
  type ControllerStatus,
} from '../src/wire/controller-status-frame.js';
import { taskCountsIn, decodePage, encodePage } from '../src/wire/page-record.js';
import { decodeFeatures, type VersionRecord } from '../src/wire/version-record.js';
import { jobKey, pageKey, parseKey, leaderKey, versionKey, zoneRecordKey } from '../src/wire/keys.js';
import { decodeJob, encodeJob } from '../src/wire/job-record.js';
import { decodeLeader, type LeaderRecord } from '../src/wire/leader-record.js';
import { assertBytes, decodeGolden, type Golden } from './golden-bytes.js';

// Records and the frames between controllers as literal bytes, with each optional field present and absent. An upgraded
// controller reads records of earlier versions, and earlier versions read its records while both run during an upgrade.

const FULL_JOB: Golden = {
  text: '{"st":"open","at":"2030-01-01T12:00:00.250Z","s":{"id":"req-000412","class":"train","team":"vision","kind":"gang","priority":"high","tasks":16,"cpus":8,"gpus":1,"memory":64.5,"types":["g8","g9"],"zone":"a","oneZone":true,"spread":true,"spot":true,"image":"img-07","imageGb":6.2,"estimate":240,"checkpoint":30,"save":4,"due":900,"dependencies":["req-7","req-8"]}}',
  base64:
    'o2JzdGRvcGVuYmF0eBgyMDMwLTAxLTAxVDEyOjAwOjAwLjI1MFphc7ViaWRqcmVxLTAwMDQxMmVjbGFzc2V0cmFpbmR0ZWFtZn' +
    'Zpc2lvbmRraW5kZGdhbmdocHJpb3JpdHlkaGlnaGV0YXNrcxBkY3B1cwhkZ3B1cwFmbWVtb3J5+0BQIAAAAAAAZXR5cGVzgmJn' +
    'OGJnOWR6b25lYWFnb25lWm9uZfVmc3ByZWFk9WRzcG909WVpbWFnZWZpbWctMDdnaW1hZ2VHYvtAGMzMzMzMzWhlc3RpbWF0ZR' +
    'jwamNoZWNrcG9pbnQYHmRzYXZlBGNkdWUZA4RsZGVwZW5kZW5jaWVzgmVyZXEtN2VyZXEtOA==',
};
const MINIMAL_JOB: Golden = {
  text: '{"st":"done","at":"2030-01-01T12:00:00.250Z","s":{"id":"req-1","class":"web","team":"shop","kind":"service","priority":"production","tasks":3,"cpus":0.5,"gpus":0,"memory":2,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":false,"image":"img-1","imageGb":0,"estimate":0,"checkpoint":0,"save":0,"due":null}}',
  base64:
    'o2JzdGRkb25lYmF0eBgyMDMwLTAxLTAxVDEyOjAwOjAwLjI1MFphc7RiaWRlcmVxLTFlY2xhc3Njd2ViZHRlYW1kc2hvcGRraW' +
    '5kZ3NlcnZpY2VocHJpb3JpdHlqcHJvZHVjdGlvbmV0YXNrcwNkY3B1c/s/4AAAAAAAAGRncHVzAGZtZW1vcnkCZXR5cGVz9mR6' +
    'b25l9mdvbmVab25l9GZzcHJlYWT0ZHNwb3T0ZWltYWdlZWltZy0xZ2ltYWdlR2IAaGVzdGltYXRlAGpjaGVja3BvaW50AGRzYX' +
    'ZlAGNkdWX2',
};
const ARRAY_JOB: Golden = {
  text: '{"st":"cancelled","at":"2030-01-01T12:00:00.250Z","s":{"id":"req-1","class":"web","team":"shop","kind":"array","priority":"low","tasks":3,"cpus":0.5,"gpus":0,"memory":2,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":false,"image":"img-1","imageGb":0,"estimate":0.25,"checkpoint":0,"save":0,"due":0}}',
  base64:
    'o2JzdGljYW5jZWxsZWRiYXR4GDIwMzAtMDEtMDFUMTI6MDA6MDAuMjUwWmFztGJpZGVyZXEtMWVjbGFzc2N3ZWJkdGVhbWRzaG' +
    '9wZGtpbmRlYXJyYXlocHJpb3JpdHljbG93ZXRhc2tzA2RjcHVz+z/gAAAAAAAAZGdwdXMAZm1lbW9yeQJldHlwZXP2ZHpvbmX2' +
    'Z29uZVpvbmX0ZnNwcmVhZPRkc3BvdPRlaW1hZ2VlaW1nLTFnaW1hZ2VHYgBoZXN0aW1hdGX7P9AAAAAAAABqY2hlY2twb2ludA' +
    'Bkc2F2ZQBjZHVlAA==',
};

const submittedAt = new Date(Date.UTC(2030, 0, 1, 12, 0, 0, 250));
const minimalSpec: JobSpec = {
  id: 'req-1',
  class: 'web',
  team: 'shop',
  kind: 'service',
  priority: 'production',
  taskCount: 3,
  cpus: 0.5,
  gpus: 0,
  memory: 2,
  machineTypes: null,
  zone: null,
  singleZone: false,
  spreadAcrossZones: false,
  allowSpot: false,
  image: 'img-1',
  imageGb: 0,
  estimatedDuration: 0n,
  checkpointInterval: 0n,
  checkpointDuration: 0n,
  deadline: null,
  dependencies: [],
};
const fullSpec: JobSpec = {
  id: 'req-000412',
  class: 'train',
  team: 'vision',
  kind: 'gang',
  priority: 'high',
  taskCount: 16,
  cpus: 8,
  gpus: 1,
  memory: 64.5,
  machineTypes: ['g8', 'g9'],
  zone: 'a',
  singleZone: true,
  spreadAcrossZones: true,
  allowSpot: true,
  image: 'img-07',
  imageGb: 6.2,
  estimatedDuration: seconds(240),
  checkpointInterval: seconds(30),
  checkpointDuration: seconds(4),
  deadline: seconds(900),
  dependencies: ['req-7', 'req-8'],
};
const arraySpec: JobSpec = {
  ...minimalSpec,
  kind: 'array',
  priority: 'low',
  estimatedDuration: seconds(0.25),
  deadline: 0n,
};

test('the job record, with all optional fields and with none', () => {
  const records: readonly [Golden, JobRecord][] = [
    [FULL_JOB, { spec: fullSpec, submittedAt, status: 'open' }],
    [MINIMAL_JOB, { spec: minimalSpec, submittedAt, status: 'done' }],
    [ARRAY_JOB, { spec: arraySpec, submittedAt, status: 'cancelled' }],
  ];
  for (const [golden, record] of records) {
    assertBytes(encode(encodeJob(record)), golden);
    assert.deepEqual(decodeJob(decodeGolden(golden)), record);
  }
});

// A cancellation decodes the record and encodes it again, which must not lose or reorder any field.
test('a record that is decoded and encoded again keeps its bytes', () => {
  for (const golden of [FULL_JOB, MINIMAL_JOB, ARRAY_JOB])
    assertBytes(encode(encodeJob(decodeJob(decodeGolden(golden)))), golden);
});

test('the leader record', () => {
  const golden: Golden = {
    text: '{"label":"hearth-1","incarnation":"hearth-1-1893499200250-77"}',
    base64: 'omVsYWJlbGhoZWFydGgtMWtpbmNhcm5hdGlvbngZaGVhcnRoLTEtMTg5MzQ5OTIwMDI1MC03Nw==',
  };
  const leader: LeaderRecord = { label: 'hearth-1', incarnation: 'hearth-1-1893499200250-77' };
  assertBytes(encode(leader), golden);
  assert.deepEqual(decodeLeader(decodeGolden(golden)), leader);
});

test('the version record with the supported features', () => {
  const golden: Golden = {
    text: '{"features":["dependencies"]}',
    base64: 'oWhmZWF0dXJlc4FsZGVwZW5kZW5jaWVz',
  };
  const version: VersionRecord = { features: ['dependencies'] };
  assertBytes(encode(version), golden);
  assert.deepEqual(decodeFeatures(decodeGolden(golden)), ['dependencies']);
});

test('the zone record, in every phase', () => {
  const golden: Golden = {
    text: '{"version":1,"zones":[{"zone":"b","phase":"suspect","losses":0,"holdUntil":1893499200,"admitted":0},{"zone":"c","phase":"lost","losses":1,"holdUntil":1893499200,"admitted":0},{"zone":"d","phase":"held-down","losses":2,"holdUntil":1893499230,"admitted":0},{"zone":"e","phase":"returning","losses":2,"holdUntil":1893499200,"admitted":7},{"zone":"f","phase":"healthy","losses":3,"holdUntil":1893499200,"admitted":0}]}',
    base64:
      'omd2ZXJzaW9uAWV6b25lc4WlZHpvbmVhYmVwaGFzZWdzdXNwZWN0Zmxvc3NlcwBpaG9sZFVudGlsGnDcgUBoYWRtaXR0ZWQApW' +
      'R6b25lYWNlcGhhc2VkbG9zdGZsb3NzZXMBaWhvbGRVbnRpbBpw3IFAaGFkbWl0dGVkAKVkem9uZWFkZXBoYXNlaWhlbGQtZG93' +
      'bmZsb3NzZXMCaWhvbGRVbnRpbBpw3IFeaGFkbWl0dGVkAKVkem9uZWFlZXBoYXNlaXJldHVybmluZ2Zsb3NzZXMCaWhvbGRVbn' +
      'RpbBpw3IFAaGFkbWl0dGVkB6Vkem9uZWFmZXBoYXNlZ2hlYWx0aHlmbG9zc2VzA2lob2xkVW50aWwacNyBQGhhZG1pdHRlZAA=',
  };
  const now: Timestamp = { monotonic: seconds(1000), wall: new Date(Date.UTC(2030, 0, 1, 12)) };
  const healthy: ZoneHealth = {
    phase: 'healthy',
    since: now.monotonic,
    losses: 0,
    lossesChangedAt: now.monotonic,
    holdUntil: now.monotonic,
    admitted: 0,
    admittedAt: now.monotonic,
  };
  const zones = new Map<string, ZoneHealth>([
    ['a', healthy],
    ['b', { ...healthy, phase: 'suspect' }],
    ['c', { ...healthy, phase: 'lost', losses: 1 }],
    ['d', { ...healthy, phase: 'held-down', losses: 2, holdUntil: now.monotonic + seconds(30) }],
    ['e', { ...healthy, phase: 'returning', losses: 2, admitted: 7 }],
    ['f', { ...healthy, losses: 3 }],
  ]);
  assertBytes(encode(encodeZones(zones, now)), golden);
  zones.delete('a');
  assert.deepEqual(decodeZones(decodeGolden(golden), now), zones);
});

// A space precedes each of the two lists, of completed tasks and of assignments, even if the list is empty (`c0,0  |`).
const PAGE =
  'east,we%2Est|req-1/0 a1 c0,0  |req-2/12 a70000 c3,0 480-482 |req-3/0 a2 c0,1  5.2.n-000231.12.1|req-4/0 a3 c4,2 0-2,7 4.3.n-000231.2.0,5.2.a%2Eb%2Cc%7Cd.1.0';

test('a page of chunks, with and without completed tasks and assignments', () => {
  const entries: PageEntry[] = [
    { jobId: 'req-1', chunkIndex: 0, record: { highestAttempt: 1, completedTasks: [], assignments: [] } },
    {
      jobId: 'req-2',
      chunkIndex: 12,
      record: { highestAttempt: 70_000, completedTasks: [{ first: 480, last: 482 }], assignments: [] },
    },
    {
      jobId: 'req-3',
      chunkIndex: 0,
      record: {
        highestAttempt: 2,
        completedTasks: [],
        assignments: [{ taskIndex: 5, attempt: 2, machineName: 'n-000231', agentEpoch: 12, zone: 'we.st' }],
      },
    },
    {
      jobId: 'req-4',
      chunkIndex: 0,
      record: {
        highestAttempt: 3,
        completedTasks: [
          { first: 0, last: 2 },
          { first: 7, last: 7 },
        ],
        assignments: [
          { taskIndex: 4, attempt: 3, machineName: 'n-000231', agentEpoch: 2, zone: 'east' },
          { taskIndex: 5, attempt: 2, machineName: 'a.b,c|d', agentEpoch: 1, zone: 'east' },
        ],
      },
    },
  ];
  const zones = ['east', 'we.st'];
  assert.equal(encodePage(entries, zones), PAGE);
  assert.equal(encodePage(entries, zones), PAGE, 'the same with the cached rows of the first encoding');
  assert.deepEqual(decodePage(PAGE), entries);
  assert.deepEqual(taskCountsIn(PAGE), [
    { jobId: 'req-1', completed: 0, assigned: 0 },
    { jobId: 'req-2', completed: 3, assigned: 0 },
    { jobId: 'req-3', completed: 0, assigned: 1 },
    { jobId: 'req-4', completed: 4, assigned: 2 },
  ]);
  assert.equal(encodePage([], []), '');
  assert.deepEqual(decodePage(''), []);
});

test('the keys of records, written and parsed', () => {
  assert.equal(jobKey('req-1'), 'main/job/req-1');
  assert.equal(leaderKey('all'), 'main/part/all');
  assert.equal(pageKey('all', 3), 'main/page/all/3');
  assert.equal(zoneRecordKey('all'), 'main/zones/all');
  assert.equal(versionKey('hearth-1'), 'main/version/hearth-1');
  assert.deepEqual(parseKey('main/job/req-1'), { kind: 'job', id: 'req-1' });
  assert.deepEqual(parseKey('main/part/all'), { kind: 'leader', partition: 'all' });
  assert.deepEqual(parseKey('main/page/all/3'), { kind: 'page', partition: 'all', id: 3 });
  assert.deepEqual(parseKey('main/version/hearth-1'), { kind: 'version', label: 'hearth-1' });
  assert.deepEqual(parseKey('main/zones/all'), { kind: 'other' });
});

// Magic `PR`, version, kind and length, then flags, contact time, fencing token and label.
const FRAMES: readonly (readonly [string, string, ControllerStatus])[] = [
  [
    'a leader',
    '5052 01 01 0016 01 000001a4 000000000000004d 08 6865617274682d31',
    { label: 'hearth-1', isLeader: true, stateStoreContactMs: 420, fencingToken: 77n },
  ],
  [
    'a standby without contact to the state store yet',
    '5052 01 01 0016 00 ffffffff 0000000000000000 08 6865617274682d32',
    { label: 'hearth-2', isLeader: false, stateStoreContactMs: null, fencingToken: 0n },
  ],
  [
    'the longest contact time, the highest fencing token, and a label outside ASCII',
    '5052 01 01 0010 00 fffffffe ffffffffffffffff 02 c3a9',
    { label: 'é', isLeader: false, stateStoreContactMs: 0xfffffffe, fencingToken: 0xffff_ffff_ffff_ffffn },
  ],
  [
    'no label',
    '5052 01 01 000e 01 00000000 0000000000000001 00',
    { label: '', isLeader: true, stateStoreContactMs: 0, fencingToken: 1n },
  ],
];

test('frames between controllers', () => {
  for (const [what, hex, status] of FRAMES) {
    const bytes = hex.replaceAll(' ', '');
    assert.equal(encodeStatus(status).toString('hex'), bytes, what);
    assert.deepEqual(new FrameReader().push(Buffer.from(bytes, 'hex')), [status], what);
  }
  assert.equal(MAX_FRAME_BYTES, 512);
});

test('in a frame the contact time is rounded, and a label is cut at 255 bytes', () => {
  const long: ControllerStatus = {
    label: 'x'.repeat(300),
    isLeader: false,
    stateStoreContactMs: 1.5,
    fencingToken: 2n,
  };
  const bytes = `50520101010d00000000020000000000000002ff${'78'.repeat(255)}`;
  assert.equal(encodeStatus(long).toString('hex'), bytes);
  assert.deepEqual(new FrameReader().push(Buffer.from(bytes, 'hex')), [
    { ...long, label: 'x'.repeat(255), stateStoreContactMs: 2 },
  ]);
  assert.equal(encodeStatus({ ...long, stateStoreContactMs: 1e12 }).toString('hex', 7, 11), 'fffffffe');
  assert.equal(encodeStatus({ ...long, stateStoreContactMs: -1 }).toString('hex', 7, 11), '00000000');
});
