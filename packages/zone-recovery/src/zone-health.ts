/**
 * The state machine of one zone. It judges by what the owner hears, never by silence alone: a zone is suspected only
 * while other zones are heard, and being lost changes where work is placed, not what counts as proof that a task is gone.
 */
import type { ZoneObservation } from '../../../src/core/model/zone-policy.js';
import type { Duration, MonotonicTime } from '../../../src/core/model/time.js';

/** How a zone stands. */
export type ZonePhase = 'healthy' | 'suspect' | 'lost' | 'held-down' | 'returning';

/** All that is remembered of a zone. */
export interface ZoneHealth {
  readonly phase: ZonePhase;
  /** When it came into this phase. */
  readonly since: MonotonicTime;
  /** How often it was lost of late. */
  readonly losses: number;
  /** When the number of losses last changed. */
  readonly countedAt: MonotonicTime;
  /** Held down: until when. */
  readonly holdUntil: MonotonicTime;
  /** Returning: how many of its machines take ordinary work, and since when. */
  readonly admitted: number;
  readonly steppedAt: MonotonicTime;
}

/** What the judgement of a zone depends on beside the zone itself. */
export interface Surroundings {
  /** Most machines of some other zone are heard, so that it is not we who are cut off. */
  readonly othersHeard: boolean;
  readonly inContact: boolean;
  readonly replicasMissing: number;
  readonly startTakes: Duration;
}

/** Spans that follow from the deployment's settings. */
export interface ZoneTiming {
  readonly lease: Duration;
  readonly report: Duration;
}

/** What a step leads to; `why` is null where the phase stays. */
export interface ZoneStep {
  readonly health: ZoneHealth;
  readonly why: string | null;
}

const SECOND: Duration = 1_000_000_000n;
/** Silent machines, as a share of those known, that make a zone suspect, and that clear it. */
const SUSPECT_SHARE = 0.5;
const CLEAR_SHARE = 0.25;
/** A zone of fewer machines is not told apart from single machines that fail. */
const LEAST_MACHINES = 2;
/** The first step of a return admits this share of the machines; each further step twice as many. */
const FIRST_SHARE = 0.1;
/** The longest hold-down: capacity is not shut out for good, and the largest jobs still begin in time. */
export const LONGEST_HOLD: Duration = 120n * SECOND;
/** A loss is forgotten after so many leases of health, but not sooner than this. */
const DECAY_LEASES = 12n;
const LEAST_DECAY: Duration = 120n * SECOND;

/** A zone of which nothing is known. */
export const newZone = (now: MonotonicTime): ZoneHealth => ({
  phase: 'healthy',
  since: now,
  losses: 0,
  countedAt: now,
  holdUntil: now,
  admitted: 0,
  steppedAt: now,
});

const shorter = (a: Duration, b: Duration): Duration => (a < b ? a : b);
const longer = (a: Duration, b: Duration): Duration => (a > b ? a : b);

/** How long a zone is held down after so many losses: not at all after the first, then twice as long each time. */
export function holdDown(losses: number, timing: ZoneTiming): Duration {
  if (losses < 2) return 0n;
  const doublings = BigInt(Math.min(losses - 2, 16));
  return shorter(timing.lease * 2n ** doublings, LONGEST_HOLD);
}

const silentShare = (seen: ZoneObservation): number =>
  seen.known === 0 ? 1 : 1 - seen.responsive / seen.known;

const moved = (health: ZoneHealth, phase: ZonePhase, now: MonotonicTime, reason: string): ZoneStep => ({
  health: { ...health, phase, since: now },
  why: reason,
});

function lose(health: ZoneHealth, now: MonotonicTime, reason: string): ZoneStep {
  return moved({ ...health, losses: health.losses + 1, countedAt: now, admitted: 0 }, 'lost', now, reason);
}

function comeBack(
  health: ZoneHealth,
  seen: ZoneObservation,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneStep {
  const hold = holdDown(health.losses, timing);
  if (hold > 0n)
    return moved(
      { ...health, holdUntil: now + hold },
      'held-down',
      now,
      `heard again after ${health.losses} losses: waits for ${hold / SECOND} s`,
    );
  return beginReturn(health, seen, now, 'heard again');
}

const firstStep = (seen: ZoneObservation): number => Math.max(1, Math.ceil(seen.responsive * FIRST_SHARE));

function beginReturn(
  health: ZoneHealth,
  seen: ZoneObservation,
  now: MonotonicTime,
  reason: string,
): ZoneStep {
  return moved({ ...health, admitted: firstStep(seen), steppedAt: now }, 'returning', now, reason);
}

/** A step of the return goes on once its starts should be done and services are up, or after two leases in any case. */
function stepOn(
  health: ZoneHealth,
  seen: ZoneObservation,
  around: Surroundings,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneStep {
  const passed = now - health.steppedAt;
  const atLeast = longer(shorter(around.startTakes, timing.lease), timing.report * 2n);
  const served = around.replicasMissing === 0 && passed >= atLeast;
  if (!served && passed < timing.lease * 2n) return { health, why: null };
  if (health.admitted >= seen.responsive)
    return moved(health, 'healthy', now, 'all that came back is admitted');
  return { health: { ...health, admitted: health.admitted * 2, steppedAt: now }, why: null };
}

function decay(health: ZoneHealth, timing: ZoneTiming, now: MonotonicTime): ZoneStep {
  const after = longer(timing.lease * DECAY_LEASES, LEAST_DECAY);
  if (health.losses === 0 || now - health.countedAt < after) return { health, why: null };
  return { health: { ...health, losses: health.losses - 1, countedAt: now }, why: null };
}

/** What follows for a zone from what is seen now. */
export function nextHealth(
  health: ZoneHealth,
  seen: ZoneObservation,
  around: Surroundings,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneStep {
  // Whoever has lost sight of everything, or of the state service, concludes nothing.
  if (!around.inContact) return { health, why: null };
  const gone = around.othersHeard && seen.known >= LEAST_MACHINES && silentShare(seen) >= SUSPECT_SHARE;
  switch (health.phase) {
    case 'healthy':
      return gone
        ? moved(
            health,
            'suspect',
            now,
            `${seen.known - seen.responsive} of ${seen.known} machines are silent`,
          )
        : decay(health, timing, now);
    case 'suspect':
      if (silentShare(seen) < CLEAR_SHARE) return moved(health, 'healthy', now, 'heard again in time');
      if (gone && now - health.since >= timing.lease) return lose(health, now, 'silent for a lease');
      return { health, why: null };
    case 'lost':
      return seen.responsive > 0 ? comeBack(health, seen, timing, now) : { health, why: null };
    case 'held-down':
      if (gone) return lose(health, now, 'silent again while held down');
      return now >= health.holdUntil
        ? beginReturn(health, seen, now, 'held down long enough')
        : { health, why: null };
    case 'returning':
      if (gone) return lose(health, now, 'silent again while returning');
      return stepOn(health, seen, around, timing, now);
  }
}
