/** @file The only place where the edge reads the clocks; the core is given the time with every event. */
import type { Timestamp } from '../../core/model/time.js';

/** The present moment by both clocks. */
export const currentTime = (): Timestamp => ({ monotonic: process.hrtime.bigint(), wall: new Date() });
/** The present moment by the monotonic clock. */
export const monotonicNow = (): bigint => process.hrtime.bigint();
/** Milliseconds since a moment of the monotonic clock. */
export const millisecondsSince = (since: bigint): number => Number(process.hrtime.bigint() - since) / 1e6;
