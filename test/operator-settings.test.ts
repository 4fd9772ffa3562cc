/** @file The operator settings file: ranges of values and the position of a mistake. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseOperatorSettings } from '../src/edge/config/operator-settings.js';

test('operator settings: values have ranges, and an error names the line of the mistake', () => {
  assert.equal(parseOperatorSettings('(placement (alpha 0.3)) ; ok', 'f').alpha, 0.3);
  assert.throws(
    () => parseOperatorSettings('(placement\n (alpha 0.8))', 'f'),
    /f:2: alpha must be from 0.25 to 0.75/,
  );
  assert.throws(() => parseOperatorSettings('(placement\n\n (beta 1))', 'f'), /f:3: unknown setting "beta"/);
  assert.throws(() => parseOperatorSettings('(fleet (idle-s soon))', 'f'), /takes one number/);
});
