/**
 * @file The state machine of one zone, driven by the heartbeats that the leader receives. Missing heartbeats alone are
 * not enough: a zone is suspected only while other zones are responsive. The loss of a zone changes where tasks are
 * assigned, but not what counts as proof that a task has ended. The functions are pure: the time is a parameter.
 */
import type { ZoneObservation } from '../../../src/core/model/zone-policy.js';
import type { Duration, MonotonicTime } from '../../../src/core/model/time.js';

/** The phases of a zone's health. */
export type ZonePhase = 'healthy' | 'suspect' | 'lost' | 'held-down' | 'returning';

/** The state of one zone. */
export interface ZoneHealth {
  readonly phase: ZonePhase;
  /** Start of this phase. */
  readonly since: MonotonicTime;
  /** Number of times the zone was lost. Decreases while the zone is healthy. */
  readonly losses: number;
  /** Time of the last change of `losses`. */
  readonly lossesChangedAt: MonotonicTime;
  /** End of the hold-down, if the zone is held down. */
  readonly holdUntil: MonotonicTime;
  /** Number of machines that accept ordinary tasks, if the zone is returning. */
  readonly admitted: number;
  /** Start of the current step of the return. */
  readonly admittedAt: MonotonicTime;
}

/** Conditions outside a zone that its transitions depend on. */
export interface FleetConditions {
  /** At least half of the machines of some other zone are responsive, so the leader itself is not partitioned. */
  readonly otherZonesResponsive: boolean;
  /** The state store has recently confirmed the leader. */
  readonly leadershipConfirmed: boolean;
  /** Number of service replicas that should run but do not. */
  readonly replicasMissing: number;
  /** Duration of the slowest task start in progress, with its image fetch. */
  readonly slowestStart: Duration;
}

/** Durations from the platform settings. */
export interface ZoneTiming {
  readonly workerLease: Duration;
  readonly heartbeatInterval: Duration;
}

/** The result of an observation. `reason` is null if the phase does not change. */
export interface ZoneTransition {
  readonly health: ZoneHealth;
  readonly reason: string | null;
}

const SECOND: Duration = 1_000_000_000n;
/** A zone becomes suspect at this share of unresponsive machines among the known ones. */
const SUSPECT_SHARE = 0.5;
/** A suspect zone is healthy again below this share. */
const CLEAR_SHARE = 0.25;
/** A zone with fewer machines is never suspected, because its loss looks the same as the failure of single machines. */
const MIN_MACHINES = 2;
/** The first step of a return admits this share of the machines. Each further step doubles the number. */
const FIRST_STEP_SHARE = 0.1;
/** Upper bound on a hold-down, so that no capacity is excluded permanently and the largest jobs still start in time. */
export const MAX_HOLD_DOWN: Duration = 120n * SECOND;
/** Upper bound on the doublings of the hold-down, one per further loss. More would make no difference. */
const MAX_DOUBLINGS = 16;
/**
 * The loss count of a healthy zone decreases by one after this many worker leases without a change of the count, but not
 * before `MIN_DECAY` has passed.
 */
const DECAY_LEASES = 12n;
const MIN_DECAY: Duration = 120n * SECOND;

/** Returns the state of a zone without a history. */
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

/**
 * Returns the hold-down after `losses` losses: 0 after the first, one worker lease after the second, then twice as long
 * each time, up to `MAX_HOLD_DOWN`.
 */
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

/** Ends the phase 'lost' after machines have become responsive again: the zone is held down or returns. */
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

/**
 * Starts the next step of a return, or ends the return if all responsive machines are admitted. Does so as soon as no
 * service replica is missing and the task starts of the current step should be finished, or else after two worker
 * leases.
 */
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

/** Returns the state of a zone after an observation. */
// The whole state machine is in one function: one case per phase, with its transitions in order of precedence.
// eslint-disable-next-line complexity
export function nextHealth(
  health: ZoneHealth,
  zone: ZoneObservation,
  conditions: FleetConditions,
  timing: ZoneTiming,
  now: MonotonicTime,
): ZoneTransition {
  // A leader without contact to the state store may itself be partitioned, so it changes nothing.
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
