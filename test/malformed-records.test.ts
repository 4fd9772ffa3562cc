import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameReader } from '../src/wire/controller-status-frame.js';
import { MalformedFrameError, MalformedRecordError } from '../src/wire/errors.js';
import { decodeJob } from '../src/wire/job-record.js';
import { decodeLeader } from '../src/wire/leader-record.js';
import { decodePage } from '../src/wire/page-record.js';
import { isDecodable } from '../src/wire/stored-value-check.js';

const isRecordError =
  (record: MalformedRecordError['record'], reason: RegExp, hasCause: boolean) =>
  (error: unknown): boolean => {
    assert.ok(error instanceof MalformedRecordError);
    assert.equal(error.record, record);
    assert.match(error.reason, reason);
    assert.equal(error.cause !== undefined, hasCause);
    return true;
  };

test('a malformed record throws a typed error with the kind of record, the reason and the cause', () => {
  assert.throws(() => decodeJob({ st: 'open' }), isRecordError('job', /"at"/, true));
  assert.throws(() => decodeJob(null), isRecordError('job', /object/, true));
  assert.throws(() => decodeLeader({ label: 7 }), isRecordError('leader', /label/, true));
  assert.throws(() => decodePage(7), isRecordError('page', /not a text/, false));
  assert.throws(() => decodePage('east|req-1'), isRecordError('page', /row "req-1"/, false));
  assert.throws(() => decodePage('%E0%A4%A|'), isRecordError('page', /name "%E0%A4%A"/, true));
});

test('whether a value can be decoded is checked by the kind of its key', () => {
  assert.equal(isDecodable('main/job/req-1', {}), false);
  assert.equal(isDecodable('main/part/all', { label: 'a' }), false);
  assert.equal(isDecodable('main/part/all', { label: 'a', incarnation: 'b' }), true);
  assert.equal(isDecodable('main/page/all/1', 7), false);
  assert.equal(isDecodable('main/page/all/1', 'not a page, which only decoding detects'), true);
  assert.equal(isDecodable('main/zones/all', 7), true);
});

test('bytes that are not a frame throw a typed error', () => {
  const isFrameError = (error: unknown): boolean =>
    error instanceof MalformedFrameError && error.reason === 'not a frame';
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), isFrameError);
});
