/** @file The frames that controllers send each other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameReader, encodeStatus } from '../src/wire/controller-status-frame.js';

test('peer frames: reassembled wherever they are split, and bytes that are not a frame are refused', () => {
  const status = {
    label: 'hearth-1',
    isLeader: true,
    stateStoreContactMs: 1234,
    fencingToken: 2n ** 53n + 1n,
  };
  const bytes = Buffer.concat([
    encodeStatus(status),
    encodeStatus({ ...status, isLeader: false, stateStoreContactMs: null }),
  ]);
  for (let n = 0; n <= bytes.length; n++) {
    const reader = new FrameReader();
    const frames = [...reader.push(bytes.subarray(0, n)), ...reader.push(bytes.subarray(n))];
    assert.deepEqual(frames, [status, { ...status, isLeader: false, stateStoreContactMs: null }]);
  }
  const unknownVersion = Buffer.from(encodeStatus(status));
  unknownVersion.writeUInt8(9, 2);
  assert.deepEqual(new FrameReader().push(unknownVersion), [], 'a frame of an unknown version is skipped');
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), /not a frame/);
  const tooLong = Buffer.from(encodeStatus(status));
  tooLong.writeUInt16BE(60_000, 4);
  assert.throws(() => new FrameReader().push(tooLong), /too long/);
  const wrongLabelLength = Buffer.from(encodeStatus(status));
  wrongLabelLength.writeUInt8(200, 19);
  assert.throws(() => new FrameReader().push(wrongLabelLength), /too short/);
});
