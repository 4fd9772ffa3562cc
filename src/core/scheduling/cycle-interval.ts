/** @file How far apart scheduling cycles are, so that they leave time for heartbeats. */
import { type Duration, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';

/** Fleets up to this size have a cycle whenever something changes. */
const SMALL_FLEET_MACHINES = 50;

/** A quarter of a millisecond for each machine beyond those. */
const INTERVAL_PER_MACHINE = seconds(1) / 4000n;

/** Cycles take at most one part in so many of the time there is, unless they would be further apart than the maximum. */
const CYCLE_TIME_DIVISOR = 4n;

const MAX_CYCLE_INTERVAL = seconds(2);

/**
 * Cycles run when something has changed, but no closer together than this: a cycle looks at every machine, and on a
 * large fleet something changes dozens of times a second. On a small share of a core a cycle with many blocked gangs
 * takes a third of a second; run one after the other they left no time for heartbeats, and leases expired.
 */
export function minCycleInterval(state: ClusterState): Duration {
  // An overloaded process assigns nothing that would be sent in time: heartbeats come first.
  if (isOverloaded(state.term)) return MAX_CYCLE_INTERVAL;
  const intervalBySize =
    INTERVAL_PER_MACHINE * BigInt(Math.max(0, state.machines.byName.size - SMALL_FLEET_MACHINES));
  const intervalByDuration = state.scheduling.averageCycleDuration * CYCLE_TIME_DIVISOR;
  const limitedByDuration = intervalByDuration < MAX_CYCLE_INTERVAL ? intervalByDuration : MAX_CYCLE_INTERVAL;
  return intervalBySize > limitedByDuration ? intervalBySize : limitedByDuration;
}
