/**
 * @file Moments and spans of time. Nothing in the core reads a clock: every event comes with its `now`.
 */

/** A moment of the monotonic clock in nanoseconds, as `process.hrtime.bigint()` gives it. Time of day is a `Date`. */
export type MonotonicTime = bigint;

/** A span of monotonic time, in nanoseconds. */
export type Duration = bigint;

/** The moment of an event by both clocks. */
export interface Timestamp {
  readonly monotonic: MonotonicTime;
  readonly wall: Date;
}

const NANOS_PER_SECOND = 1_000_000_000;

/** Seconds as a span. */
export const seconds = (count: number): Duration => BigInt(Math.round(count * NANOS_PER_SECOND));

/** A span in seconds. */
export const toSeconds = (span: Duration): number => Number(span) / NANOS_PER_SECOND;

/** The later of two moments. */
export const laterOf = (a: MonotonicTime, b: MonotonicTime): MonotonicTime => (a > b ? a : b);

/** Seconds of wall time between two dates. */
export const wallSecondsBetween = (from: Date, to: Date): number => (to.getTime() - from.getTime()) / 1000;
