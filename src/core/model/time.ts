/**
 * Steady time and spans of it are nanoseconds as `process.hrtime.bigint()` gives them; time of day is a `Date`.
 * Nothing in the core reads a clock: every event comes with its `now`.
 */
export type MonotonicTime = bigint;
/** A span of steady time, in nanoseconds. */
export type Duration = bigint;

/** The moment of an event by both clocks. */
export interface Timestamp {
  readonly monotonic: MonotonicTime;
  readonly wall: Date;
}

const NANOS_PER_SECOND = 1_000_000_000;

/** Seconds as a span. */
export const seconds = (n: number): Duration => BigInt(Math.round(n * NANOS_PER_SECOND));
/** A span in seconds. */
export const toSeconds = (s: Duration): number => Number(s) / NANOS_PER_SECOND;
/** The later of two moments. */
export const laterOf = (a: MonotonicTime, b: MonotonicTime): MonotonicTime => (a > b ? a : b);

/** Seconds of wall time between two dates. */
export const wallSecondsBetween = (from: Date, to: Date): number => (to.getTime() - from.getTime()) / 1000;
