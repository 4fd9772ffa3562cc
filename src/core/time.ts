/**
 * Steady time and spans of it are nanoseconds as `process.hrtime.bigint()` gives them; time of day is a `Date`.
 * Nothing in the core reads a clock: every event comes with its `now`.
 */
export type Steady = bigint;
/** A span of steady time, in nanoseconds. */
export type Span = bigint;

/** The moment of an event by both clocks. */
export interface Now {
  readonly steady: Steady;
  readonly wall: Date;
}

const NANOS_PER_SECOND = 1_000_000_000;

/** Seconds as a span. */
export const seconds = (n: number): Span => BigInt(Math.round(n * NANOS_PER_SECOND));
/** A span in seconds. */
export const toSeconds = (s: Span): number => Number(s) / NANOS_PER_SECOND;
/** The later of two moments. */
export const laterOf = (a: Steady, b: Steady): Steady => (a > b ? a : b);

/** Seconds of wall time between two dates. */
export const wallSeconds = (from: Date, to: Date): number => (to.getTime() - from.getTime()) / 1000;
