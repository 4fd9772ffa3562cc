/** @file The exports of the package. The edge loads this module only if the feature is switched on. */
export { ZoneRecovery } from './zone-recovery.js';
export { MAX_HOLD_DOWN, holdDownDuration, newZone, nextHealth } from './zone-health.js';
export type { FleetConditions, ZoneHealth, ZonePhase, ZoneTiming } from './zone-health.js';
export { decodeZones, encodeZones, type ZonesRecord } from './zone-record.js';
