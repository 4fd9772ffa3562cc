import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import type * as ZoneRecoveryPackage from '@pumiceroad/zone-recovery';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Feature, Features } from './features.js';

const load = createRequire(__filename);

/** A feature's code is a file of its own beside the built program, read only where the feature is on; tests read its source. */
function loadFeature(name: Feature): unknown {
  const built = join(__dirname, `${name}.js`);
  return load(existsSync(built) ? built : `@pumiceroad/${name}`);
}

/** What makes the policy for lost and returning zones, anew for each term; null: the feature is off. */
export function zonePolicyFor(features: Features, config: ClusterConfig): (() => ZonePolicy) | null {
  if (!features.has('zone-recovery')) return null;
  const { ZoneRecovery } = loadFeature('zone-recovery') as typeof ZoneRecoveryPackage;
  return () => new ZoneRecovery({ lease: config.workerLease, report: config.heartbeatInterval });
}
