/**
 * @file The zone record in the state store, from which the next leader continues. The names of the stored fields are
 * part of the record's format and must not change.
 */
import * as z from 'zod';
import type { Timestamp, MonotonicTime } from '../../../src/core/model/time.js';
import { MAX_HOLD_DOWN, type ZoneHealth, type ZonePhase } from './zone-health.js';

const PHASES = [
  'healthy',
  'suspect',
  'lost',
  'held-down',
  'returning',
] as const satisfies readonly ZonePhase[];
/** Upper bound on the stored losses. More would make no difference. */
const MAX_LOSSES = 32;

const zoneSchema = z.object({
  zone: z.string(),
  phase: z.enum(PHASES),
  losses: z.number().int().nonnegative(),
  /** Wall time in seconds. Milliseconds exceed 32 bits, up to which every reader decodes an integer as a number. */
  holdUntil: z.number().int(),
  admitted: z.number().int().nonnegative(),
});

const recordSchema = z.object({ version: z.literal(1), zones: z.array(zoneSchema) });

/** The record of all zones that are not healthy or have losses. */
export type ZonesRecord = z.infer<typeof recordSchema>;

const MILLISECONDS_PER_SECOND = 1000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000n;

/** Converts a monotonic time to wall time, rounded up to whole seconds. */
function wallSecondOf(moment: MonotonicTime, now: Timestamp): number {
  const milliseconds = now.wall.getTime() + Number((moment - now.monotonic) / NANOSECONDS_PER_MILLISECOND);
  return Math.ceil(milliseconds / MILLISECONDS_PER_SECOND);
}

/** Encodes the zone record. It holds wall times, because monotonic clocks of different controllers are unrelated. */
export function encodeZones(zones: ReadonlyMap<string, ZoneHealth>, now: Timestamp): ZonesRecord {
  const encoded: ZonesRecord['zones'] = [];
  for (const [zone, health] of zones) {
    if (health.phase === 'healthy' && health.losses === 0) continue;
    const holdUntil = wallSecondOf(health.holdUntil, now);
    const losses = Math.min(health.losses, MAX_LOSSES);
    encoded.push({ zone, phase: health.phase, losses, holdUntil, admitted: health.admitted });
  }
  return { version: 1, zones: encoded };
}

/** Decodes the record that a previous leader stored. Returns null if it is malformed. */
export function decodeZones(value: unknown, now: Timestamp): Map<string, ZoneHealth> | null {
  const record = recordSchema.safeParse(value);
  if (!record.success) return null;
  const zones = new Map<string, ZoneHealth>();
  for (const { zone, phase, losses, holdUntil, admitted } of record.data.zones) {
    // Clocks drift and a record may be old, so the remaining hold-down is limited to MAX_HOLD_DOWN.
    const remainingMs = Math.max(0, holdUntil * MILLISECONDS_PER_SECOND - now.wall.getTime());
    const remaining = BigInt(remainingMs) * NANOSECONDS_PER_MILLISECOND;
    zones.set(zone, {
      phase,
      since: now.monotonic,
      losses: Math.min(losses, MAX_LOSSES),
      lossesChangedAt: now.monotonic,
      holdUntil: now.monotonic + (remaining < MAX_HOLD_DOWN ? remaining : MAX_HOLD_DOWN),
      admitted,
      admittedAt: now.monotonic,
    });
  }
  return zones;
}
