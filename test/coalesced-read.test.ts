/** @file Reads of the state store that several requests share. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoalescedRead } from '../src/edge/state-store/coalesced-read.js';

// Guards against stale responses to polls: the first read was once shared with all later requests, and a controller
// partitioned from the state store kept answering from it (found as `forgotten` and `went_back` on simulated days).
test('a request never shares a read that was sent before it arrived', async () => {
  let sent = 0;
  const shared = new CoalescedRead<number>(5, () => Promise.resolve(++sent));
  assert.equal(await shared.request(), 1);
  assert.equal(await shared.request(), 2);
  const [a, b] = await Promise.all([shared.request(), shared.request()]);
  assert.deepEqual([a, b, sent], [3, 3, 3]);
});
