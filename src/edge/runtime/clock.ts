/** @file The only module in the edge layer that reads the clocks. The core receives the time with every event. */
import type { Timestamp } from '../../core/model/time.js';

/** Returns the current time of the monotonic clock and of the wall clock. */
export const currentTime = (): Timestamp => ({ monotonic: process.hrtime.bigint(), wall: new Date() });
/** Returns the current time of the monotonic clock in nanoseconds. */
export const monotonicNow = (): bigint => process.hrtime.bigint();
/** Returns the milliseconds since a time of the monotonic clock. */
export const millisecondsSince = (since: bigint): number => Number(process.hrtime.bigint() - since) / 1e6;
