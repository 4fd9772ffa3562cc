/** @file Random delays. Decisions of the core must never depend on them. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const generator = xoroshiro128plus(Number(process.hrtime.bigint() & 0x7fffffffn) ^ process.pid);

/**
 * Returns a random delay between 0.5 and 1.5 times `ms`, so that controllers that are refused together do not retry
 * together.
 */
export const jittered = (ms: number): number => ms * (0.5 + uniformFloat64(generator));
