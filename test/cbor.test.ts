/** @file The CBOR codec: integers beyond 32 bits and absent fields. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decode, encode } from '../src/wire/cbor.js';

test('integers above 32 bits stay integers on the wire, and undefined fields are omitted', () => {
  assert.equal(encode(2 ** 40).toString('hex'), '1b0000010000000000');
  assert.equal(encode(2 ** 53 - 1).toString('hex'), '1b001fffffffffffff');
  assert.equal(encode({ a: undefined, b: 1 }).toString('hex'), 'a1616201');
  assert.equal(decode(Buffer.from('fb4010000000000000', 'hex')), 4);
});
