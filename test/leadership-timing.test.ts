/** @file The time bounds of leadership, compared with worker leases and the cancellation deadline. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { acknowledgementWindow, previousLeadersDeadlineFrom } from '../src/core/state/leadership-timing.js';
import { toSeconds } from '../src/core/model/time.js';
import { CLUSTER_CONFIG } from './fixtures/cluster-config.js';

test('the worker lease and the time for which a partitioned leader answers heartbeats fit in the cancellation deadline', () => {
  const span = acknowledgementWindow(CLUSTER_CONFIG);
  assert.ok(
    span > 0n &&
      toSeconds(span + CLUSTER_CONFIG.workerLease) < toSeconds(CLUSTER_CONFIG.cancellationDeadline),
  );
  assert.ok(previousLeadersDeadlineFrom(CLUSTER_CONFIG, 0n) > span);
});
