/** @file The frames that controllers send each other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameReader, encodeStatus } from '../src/wire/controller-status-frame.js';

test('peer frames: reassembled wherever they are split; bytes that are no frame are refused', () => {
  const status = {
    label: 'hearth-1',
    isLeader: true,
    stateStoreContactMs: 1234,
    fencingToken: 2n ** 53n + 1n,
  };
  const raw = Buffer.concat([
    encodeStatus(status),
    encodeStatus({ ...status, isLeader: false, stateStoreContactMs: null }),
  ]);
  for (let n = 0; n <= raw.length; n++) {
    const r = new FrameReader();
    const got = [...r.push(raw.subarray(0, n)), ...r.push(raw.subarray(n))];
    assert.deepEqual(got, [status, { ...status, isLeader: false, stateStoreContactMs: null }]);
  }
  const later = Buffer.from(encodeStatus(status));
  later.writeUInt8(9, 2);
  assert.deepEqual(new FrameReader().push(later), [], 'a version not known yet is passed over');
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), /not a frame/);
  const long = Buffer.from(encodeStatus(status));
  long.writeUInt16BE(60_000, 4);
  assert.throws(() => new FrameReader().push(long), /too long/);
  const lying = Buffer.from(encodeStatus(status));
  lying.writeUInt8(200, 19);
  assert.throws(() => new FrameReader().push(lying), /too short/);
});
