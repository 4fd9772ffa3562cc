/**
 * @file Points in time and durations. Nothing in the core reads a clock: every event comes with its `now`.
 */

/** Monotonic clock time in nanoseconds, as returned by `process.hrtime.bigint()`. Wall time is a `Date`. */
export type MonotonicTime = bigint;

/** A span of monotonic time in nanoseconds. */
export type Duration = bigint;

/** Time of an event by both clocks. */
export interface Timestamp {
  readonly monotonic: MonotonicTime;
  readonly wall: Date;
}

const NANOS_PER_SECOND = 1_000_000_000;

/** Converts seconds to a duration, rounded to nanoseconds. */
export const seconds = (count: number): Duration => BigInt(Math.round(count * NANOS_PER_SECOND));

/** Converts a duration to seconds. */
export const toSeconds = (span: Duration): number => Number(span) / NANOS_PER_SECOND;

/** Returns the later of two times. */
export const laterOf = (a: MonotonicTime, b: MonotonicTime): MonotonicTime => (a > b ? a : b);

/** Returns the seconds of wall time between two dates; negative if `to` is before `from`. */
export const wallSecondsBetween = (from: Date, to: Date): number => (to.getTime() - from.getTime()) / 1000;
