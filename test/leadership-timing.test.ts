/** @file The time bounds of leadership against worker leases and the cancellation deadline. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { acknowledgementWindow, previousLeadersDeadlineFrom } from '../src/core/state/leadership-timing.js';
import { toSeconds } from '../src/core/model/time.js';
import { FACTS } from './trace-runner.js';

test('the lease and the time a cut owner answers fit in the time a cancellation has', () => {
  const span = acknowledgementWindow(FACTS);
  assert.ok(span > 0n && toSeconds(span + FACTS.workerLease) < toSeconds(FACTS.cancellationDeadline));
  assert.ok(previousLeadersDeadlineFrom(FACTS, 0n) > span);
});
