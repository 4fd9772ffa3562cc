import type { Now } from '../core/time.js';

export const now = (): Now => ({ steady: process.hrtime.bigint(), wall: new Date() });
export const steady = (): bigint => process.hrtime.bigint();
export const millisSince = (since: bigint): number => Number(process.hrtime.bigint() - since) / 1e6;
