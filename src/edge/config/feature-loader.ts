/**
 * @file Loads the code of the enabled features only, so that the other features increase neither startup time nor
 * memory use.
 */
import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import type * as ZoneRecoveryModule from '@pumiceroad/zone-recovery';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Feature, Features } from './features.js';

const requireModule = createRequire(__filename);

/** Loads a feature's code from its own file next to the built program; tests and tools load its source instead. */
function loadFeature(name: Feature): unknown {
  const built = join(__dirname, `${name}.js`);
  return requireModule(existsSync(built) ? built : `@pumiceroad/${name}`);
}

/**
 * Returns a function that creates the policy for lost and returning zones, or null if the feature is disabled. The
 * function is called once per leadership term.
 */
export function zonePolicyFactory(features: Features, config: ClusterConfig): (() => ZonePolicy) | null {
  if (!features.has('zone-recovery')) return null;
  const { ZoneRecovery } = loadFeature('zone-recovery') as typeof ZoneRecoveryModule;
  return () => new ZoneRecovery(config);
}
