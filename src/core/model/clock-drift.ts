import type { Duration } from './time.js';

/** Clocks differ by 0.05%: twice that, as a share of a span. */
export const CLOCK_DRIFT_DIVISOR = 1000n;
// clocks differ by 0.05%; twice that, as a share of the span
/** A span as long as it can be by another clock. */
export const withClockDrift = (s: Duration): Duration => s + s / CLOCK_DRIFT_DIVISOR;
