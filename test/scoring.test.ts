/** @file The granted CPU and the contention cost that scoring uses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { contentionCost, grantedCpu } from '../src/core/scheduling/scoring.js';
import { DEFAULT_SETTINGS } from '../src/edge/config/operator-settings.js';

test('granted CPU and contention cost follow the published model', () => {
  assert.equal(grantedCpu(4, 4, 0.5), 4);
  assert.equal(grantedCpu(2, 6, 0.5), 3);
  assert.equal(grantedCpu(2, 48, 0.5), 4);
  assert.equal(contentionCost(0, DEFAULT_SETTINGS), 0);
  assert.ok(
    Math.abs(contentionCost(3, DEFAULT_SETTINGS) - (DEFAULT_SETTINGS.betaCs + 4 * DEFAULT_SETTINGS.betaRc)) <
      1e-12,
  );
});
