/**
 * @file What the next leader must know of zones, as it is stored in the state store. The names of the stored fields are
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
/** More losses than this make no difference. */
const MAX_LOSSES = 32;

const zoneSchema = z.object({
  zone: z.string(),
  phase: z.enum(PHASES),
  losses: z.number().int().nonnegative(),
  /** Seconds of wall time: milliseconds would not fit the 32 bits that every reader takes as a number. */
  holdUntil: z.number().int(),
  admitted: z.number().int().nonnegative(),
});

const recordSchema = z.object({ version: z.literal(1), zones: z.array(zoneSchema) });

/** The record of all zones of which anything need be known. */
export type ZonesRecord = z.infer<typeof recordSchema>;

const MILLISECONDS_PER_SECOND = 1000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000n;

/** The first whole second of wall time that is not before a moment. */
function wallSecondOf(moment: MonotonicTime, now: Timestamp): number {
  const milliseconds = now.wall.getTime() + Number((moment - now.monotonic) / NANOSECONDS_PER_MILLISECOND);
  return Math.ceil(milliseconds / MILLISECONDS_PER_SECOND);
}

/** The record to be stored. Times are wall time, since the monotonic clocks of controllers have nothing in common. */
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

/** The zones of a record that an earlier leader stored; null if it cannot be read. */
export function decodeZones(value: unknown, now: Timestamp): Map<string, ZoneHealth> | null {
  const record = recordSchema.safeParse(value);
  if (!record.success) return null;
  const zones = new Map<string, ZoneHealth>();
  for (const { zone, phase, losses, holdUntil, admitted } of record.data.zones) {
    // Clocks drift, and a record may be old: no hold-down becomes longer than the longest.
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
