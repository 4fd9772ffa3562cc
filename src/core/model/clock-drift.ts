/** @file How much longer a span measured on one machine may take by the clock of another. */
import type { Duration } from './time.js';

/** Clocks run up to 0.05% fast or slow, so two of them differ by up to twice that: a thousandth of the span. */
const CLOCK_DRIFT_DIVISOR = 1000n;

/** The longest that a span of another machine's clock can take by this one's. */
export const withClockDrift = (span: Duration): Duration => span + span / CLOCK_DRIFT_DIVISOR;
