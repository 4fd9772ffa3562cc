import type { Now } from '../core/time.js';

/** The present moment by both clocks. */
export const now = (): Now => ({ steady: process.hrtime.bigint(), wall: new Date() });
/** The steady clock. */
export const steady = (): bigint => process.hrtime.bigint();
/** Milliseconds since a moment of the steady clock. */
export const millisSince = (since: bigint): number => Number(process.hrtime.bigint() - since) / 1e6;
