/** @file The minimum interval between scheduling cycles, which leaves time for heartbeats. */
import { type Duration, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';

/** In fleets of up to this many machines, the size of the fleet does not delay the cycle after a change. */
const SMALL_FLEET_MACHINES = 50;

/** The interval grows by a quarter of a millisecond for each machine beyond `SMALL_FLEET_MACHINES`. */
const INTERVAL_PER_MACHINE = seconds(1) / 4000n;

/** Cycles take at most 1/`CYCLE_TIME_DIVISOR` of the time, unless the interval would exceed `MAX_CYCLE_INTERVAL`. */
const CYCLE_TIME_DIVISOR = 4n;

/** Upper bound on the interval by cycle duration, and the interval of an overloaded process. */
const MAX_CYCLE_INTERVAL = seconds(2);

/**
 * Returns the minimum time between two cycles. Cycles run when something has changed, but a cycle scans every machine,
 * and in a large fleet something changes dozens of times a second. On a small share of a core, a cycle with many
 * blocked gangs takes a third of a second; when such cycles ran one after the other, they left no time for heartbeats,
 * and worker leases expired.
 */
export function minCycleInterval(state: ClusterState): Duration {
  // Assignments made by an overloaded process would not be sent in time, so heartbeats take precedence.
  if (isOverloaded(state.term)) return MAX_CYCLE_INTERVAL;
  const intervalBySize =
    INTERVAL_PER_MACHINE * BigInt(Math.max(0, state.machines.byName.size - SMALL_FLEET_MACHINES));
  const intervalByDuration = state.scheduling.averageCycleDuration * CYCLE_TIME_DIVISOR;
  const limitedByDuration = intervalByDuration < MAX_CYCLE_INTERVAL ? intervalByDuration : MAX_CYCLE_INTERVAL;
  return intervalBySize > limitedByDuration ? intervalBySize : limitedByDuration;
}
