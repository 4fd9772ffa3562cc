/**
 * @file The state machine of one zone. It judges by the heartbeats that the leader gets, never by their absence alone: a
 * zone is suspected only while other zones are responsive, and being lost changes where tasks are assigned, not what
 * counts as proof that a task is gone. It is pure: time comes with each call.
 */
import type { ZoneObservation } from '../../../src/core/model/zone-policy.js';
import type { Duration, MonotonicTime } from '../../../src/core/model/time.js';

/** The health of a zone. */
export type ZonePhase = 'healthy' | 'suspect' | 'lost' | 'held-down' | 'returning';

/** All that is kept of a zone. */
export interface ZoneHealth {
  readonly phase: ZonePhase;
  /** When this phase began. */
  readonly since: MonotonicTime;
  /** How often the zone was lost; losses decay. */
  readonly losses: number;
  /** When the number of losses last changed. */
  readonly lossesChangedAt: MonotonicTime;
  /** Held down: until when. */
  readonly holdUntil: MonotonicTime;
  /** Returning: how many of its machines take ordinary tasks, and since when. */
  readonly admitted: number;
  readonly admittedAt: MonotonicTime;
}

/** What the judgement of a zone depends on beside the zone itself. */
export interface FleetConditions {
  /** Most machines of some other zone are responsive, so that it is not the leader that is cut off. */
  readonly otherZonesResponsive: boolean;
  /** The state store has lately confirmed the leader. */
  readonly leadershipConfirmed: boolean;
  readonly replicasMissing: number;
  readonly slowestStart: Duration;
}

/** Spans that follow from the deployment's settings. */
export interface ZoneTiming {
  readonly workerLease: Duration;
  readonly heartbeatInterval: Duration;
}

/** What an observation leads to; `reason` is null where the phase stays. */
export interface ZoneTransition {
  readonly health: ZoneHealth;
  readonly reason: string | null;
}

const SECOND: Duration = 1_000_000_000n;
/** Unresponsive machines, as a share of those known, that make a zone suspect, and below which it is healthy again. */
const SUSPECT_SHARE = 0.5;
const CLEAR_SHARE = 0.25;
/** In a zone of fewer machines, a loss cannot be told from single machines that fail. */
const MIN_MACHINES = 2;
/** The first step of a return admits this share of the machines; each further step twice as many. */
const FIRST_STEP_SHARE = 0.1;
/** The longest hold-down: capacity is not excluded for good, and the largest jobs still start in time. */
export const MAX_HOLD_DOWN: Duration = 120n * SECOND;
/** Each further loss doubles the hold-down; more doublings than this make no difference. */
const MAX_DOUBLINGS = 16;
/** A loss decays after so many leases of health, but not sooner than the minimum. */
const DECAY_LEASES = 12n;
const MIN_DECAY: Duration = 120n * SECOND;

/** A zone of which nothing is known. */
export const newZone = (now: MonotonicTime): ZoneHealth => ({
  phase: 'healthy',
  since: now,
  losses: 0,
  lossesChangedAt: now,
  holdUntil: now,
  admitted: 0,
  admittedAt: now,
});

const minDuration = (a: Duration, b: Duration): Duration => (a < b ? a : b);
const maxDuration = (a: Duration, b: Duration): Duration => (a > b ? a : b);

/** How long a zone is held down after so many losses: not at all after the first, then twice as long each time. */
export function holdDownDuration(losses: number, timing: ZoneTiming): Duration {
  if (losses < 2) return 0n;
  const doublings = BigInt(Math.min(losses - 2, MAX_DOUBLINGS));
  return minDuration(timing.workerLease * 2n ** doublings, MAX_HOLD_DOWN);
}

const unresponsiveShare = (zone: ZoneObservation): number =>
  zone.known === 0 ? 1 : 1 - zone.responsive / zone.known;

const unchanged = (health: ZoneHealth): ZoneTransition => ({ health, reason: null });

const enterPhase = (
  health: ZoneHealth,
  phase: ZonePhase,
  now: MonotonicTime,
  reason: string,
): ZoneTransition => ({ health: { ...health, phase, since: now }, reason });

function enterLost(health: ZoneHealth, now: MonotonicTime, reason: string): ZoneTransition {
  const losses = health.losses + 1;
  return enterPhase({ ...health, losses, lossesChangedAt: now, admitted: 0 }, 'lost', now, reason);
}

/** What follows once machines of a lost zone are responsive again. */
function leaveLost(
  health: ZoneHealth,
  zone: ZoneObservation,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneTransition {
  const holdDown = holdDownDuration(health.losses, timing);
  if (holdDown === 0n) return enterReturning(health, zone, now, 'responsive again');
  const reason = `responsive again after ${health.losses} losses: held down for ${holdDown / SECOND} s`;
  return enterPhase({ ...health, holdUntil: now + holdDown }, 'held-down', now, reason);
}

function enterReturning(
  health: ZoneHealth,
  zone: ZoneObservation,
  now: MonotonicTime,
  reason: string,
): ZoneTransition {
  const admitted = Math.max(1, Math.ceil(zone.responsive * FIRST_STEP_SHARE));
  return enterPhase({ ...health, admitted, admittedAt: now }, 'returning', now, reason);
}

/** The next step of a return comes once the starts of this one should be done and services run, or after two leases. */
function continueReturn(
  health: ZoneHealth,
  zone: ZoneObservation,
  conditions: FleetConditions,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneTransition {
  const elapsed = now - health.admittedAt;
  const startTime = minDuration(conditions.slowestStart, timing.workerLease);
  const minStep = maxDuration(startTime, timing.heartbeatInterval * 2n);
  const stepCompleted = conditions.replicasMissing === 0 && elapsed >= minStep;
  if (!stepCompleted && elapsed < timing.workerLease * 2n) return unchanged(health);
  if (health.admitted >= zone.responsive)
    return enterPhase(health, 'healthy', now, 'all responsive machines admitted');
  return unchanged({ ...health, admitted: health.admitted * 2, admittedAt: now });
}

function decayLosses(health: ZoneHealth, timing: ZoneTiming, now: MonotonicTime): ZoneTransition {
  const decayTime = maxDuration(timing.workerLease * DECAY_LEASES, MIN_DECAY);
  if (health.losses === 0 || now - health.lossesChangedAt < decayTime) return unchanged(health);
  return unchanged({ ...health, losses: health.losses - 1, lossesChangedAt: now });
}

/** What follows for a zone from an observation. */
// The whole state machine in one place: a case for each phase, its transitions in order of precedence.
// eslint-disable-next-line complexity
export function nextHealth(
  health: ZoneHealth,
  zone: ZoneObservation,
  conditions: FleetConditions,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneTransition {
  // A leader without contact to the state store may itself be cut off, and concludes nothing.
  if (!conditions.leadershipConfirmed) return unchanged(health);
  const unresponsive =
    conditions.otherZonesResponsive && zone.known >= MIN_MACHINES && unresponsiveShare(zone) >= SUSPECT_SHARE;
  switch (health.phase) {
    case 'healthy':
      if (!unresponsive) return decayLosses(health, timing, now);
      return enterPhase(
        health,
        'suspect',
        now,
        `${zone.known - zone.responsive} of ${zone.known} machines unresponsive`,
      );
    case 'suspect':
      if (unresponsiveShare(zone) < CLEAR_SHARE)
        return enterPhase(health, 'healthy', now, 'responsive again within a lease');
      if (unresponsive && now - health.since >= timing.workerLease)
        return enterLost(health, now, 'unresponsive for a lease');
      return unchanged(health);
    case 'lost':
      return zone.responsive > 0 ? leaveLost(health, zone, timing, now) : unchanged(health);
    case 'held-down':
      if (unresponsive) return enterLost(health, now, 'unresponsive while held down');
      return now >= health.holdUntil
        ? enterReturning(health, zone, now, 'hold-down over')
        : unchanged(health);
    case 'returning':
      if (unresponsive) return enterLost(health, now, 'unresponsive while returning');
      return continueReturn(health, zone, conditions, timing, now);
  }
}
