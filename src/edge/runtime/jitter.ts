import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const source = xoroshiro128plus(Number(process.hrtime.bigint() & 0x7fffffffn) ^ process.pid);

/** A wait between half and one and a half times `ms`, so that controllers refused together do not return together. */
export const jittered = (ms: number): number => ms * (0.5 + uniformFloat64(source));
