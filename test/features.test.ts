/** @file The features file and the loading of features. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ZoneRecovery } from '../packages/zone-recovery/src/index.js';
import { zonePolicyFactory } from '../src/edge/config/feature-loader.js';
import { parseFeatures, readFeatures } from '../src/edge/config/features.js';
import { SettingsError } from '../src/edge/config/settings-error.js';
import { CLUSTER_CONFIG } from './fixtures/cluster-config.js';

test('features are off unless the file names them, and a mistake is reported with its line number', () => {
  assert.deepEqual([...readFeatures(undefined)], []);
  assert.deepEqual([...parseFeatures('; none\n(features)', 'f')], []);
  assert.deepEqual([...parseFeatures('(features zone-recovery)', 'f')], ['zone-recovery']);
  const expectError = (text: string, message: RegExp): void =>
    assert.throws(
      () => parseFeatures(text, 'f'),
      (e) => e instanceof SettingsError && message.test(e.message),
    );
  expectError(
    '(features\n  zone-recovery\n  warp)',
    /^f:3: unknown feature "warp" \(known: zone-recovery\)$/,
  );
  expectError('(fleet (idle-s 5))', /^f:1: unknown group "fleet"/);
  expectError('(features (zone-recovery))', /^f:1: expected a name/);
  expectError('\nfeatures', /^f:2: expected a list$/);
  expectError('(features', /^f: /);
  assert.throws(() => readFeatures('/nowhere/features.sexp'), SettingsError);
  assert.deepEqual([...readFeatures('deploy/features.sexp')], [], 'the deployed features file is accepted');
});

test('the code of a feature is used only where it is enabled', () => {
  assert.equal(zonePolicyFactory(new Set(), CLUSTER_CONFIG), null);
  const createPolicy = zonePolicyFactory(new Set(['zone-recovery']), CLUSTER_CONFIG);
  assert.equal(createPolicy?.().constructor.name, ZoneRecovery.name);
});
