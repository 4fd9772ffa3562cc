/** What the next owner must know of zones, as it is kept in the state service. */
import * as z from 'zod';
import type { Timestamp, MonotonicTime } from '../../../src/core/model/time.js';
import { LONGEST_HOLD, type ZoneHealth, type ZonePhase } from './zone-health.js';

const PHASES = [
  'healthy',
  'suspect',
  'lost',
  'held-down',
  'returning',
] as const satisfies readonly ZonePhase[];
/** More losses than this make no difference. */
const MOST_LOSSES = 32;

const zoneRecord = z.object({
  zone: z.string(),
  phase: z.enum(PHASES),
  losses: z.number().int().nonnegative(),
  /** Seconds by the time of day: milliseconds would not fit the 32 bits that every reader takes as a number. */
  holdUntil: z.number().int(),
  admitted: z.number().int().nonnegative(),
});

const recordSchema = z.object({ version: z.literal(1), zones: z.array(zoneRecord) });

/** The kept state of all zones of which anything need be known. */
export type ZonesRecord = z.infer<typeof recordSchema>;

const MILLIS_PER_SECOND = 1000;

/** The first whole second that is not before a moment. */
function wallSecond(moment: MonotonicTime, now: Timestamp): number {
  const millis = now.wall.getTime() + Number((moment - now.monotonic) / 1_000_000n);
  return Math.ceil(millis / MILLIS_PER_SECOND);
}

/** What is to be kept. Times go by the time of day, since the steady clocks of controllers have nothing in common. */
export function writeZones(zones: ReadonlyMap<string, ZoneHealth>, now: Timestamp): ZonesRecord {
  const out: ZonesRecord['zones'] = [];
  for (const [zone, health] of zones) {
    if (health.phase === 'healthy' && health.losses === 0) continue;
    const holdUntil = wallSecond(health.holdUntil, now);
    const losses = Math.min(health.losses, MOST_LOSSES);
    out.push({ zone, phase: health.phase, losses, holdUntil, admitted: health.admitted });
  }
  return { version: 1, zones: out };
}

/** What an earlier owner kept; null if it cannot be read. */
export function readZones(value: unknown, now: Timestamp): Map<string, ZoneHealth> | null {
  const record = recordSchema.safeParse(value);
  if (!record.success) return null;
  const zones = new Map<string, ZoneHealth>();
  for (const { zone, phase, losses, holdUntil, admitted } of record.data.zones) {
    // Clocks drift, and a record may be old: no hold-down becomes longer than the longest.
    const leftMillis = Math.max(0, holdUntil * MILLIS_PER_SECOND - now.wall.getTime());
    const left = BigInt(leftMillis) * 1_000_000n;
    zones.set(zone, {
      phase,
      since: now.monotonic,
      losses: Math.min(losses, MOST_LOSSES),
      countedAt: now.monotonic,
      holdUntil: now.monotonic + (left < LONGEST_HOLD ? left : LONGEST_HOLD),
      admitted,
      steppedAt: now.monotonic,
    });
  }
  return zones;
}
