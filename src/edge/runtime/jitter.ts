/** @file Randomness for pauses. Decisions of the core must never depend on it. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const generator = xoroshiro128plus(Number(process.hrtime.bigint() & 0x7fffffffn) ^ process.pid);

/** A pause between half and one and a half times `ms`, so that controllers refused together do not retry together. */
export const jittered = (ms: number): number => ms * (0.5 + uniformFloat64(generator));
