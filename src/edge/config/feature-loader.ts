/** @file Loads the code of features: only of those that are switched on, so that the others cost neither start nor memory. */
import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import type * as ZoneRecoveryModule from '@pumiceroad/zone-recovery';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Feature, Features } from './features.js';

const requireModule = createRequire(__filename);

/** A feature's code is a file of its own beside the built program; tests and tools load its source instead. */
function loadFeature(name: Feature): unknown {
  const built = join(__dirname, `${name}.js`);
  return requireModule(existsSync(built) ? built : `@pumiceroad/${name}`);
}

/** Creates the policy for lost and returning zones, one for each leadership term; null: the feature is off. */
export function zonePolicyFactory(features: Features, config: ClusterConfig): (() => ZonePolicy) | null {
  if (!features.has('zone-recovery')) return null;
  const { ZoneRecovery } = loadFeature('zone-recovery') as typeof ZoneRecoveryModule;
  return () => new ZoneRecovery(config);
}
