/** @file Allowance for clock drift: how much longer a span measured on one machine may take by another's clock. */
import type { Duration } from './time.js';

/** Clocks run up to 0.05% fast or slow, so two of them differ by up to twice that: a thousandth of the span. */
const CLOCK_DRIFT_DIVISOR = 1000n;

/** Upper bound on how long a span of another machine's clock takes by this machine's clock. */
export const withClockDrift = (span: Duration): Duration => span + span / CLOCK_DRIFT_DIVISOR;
