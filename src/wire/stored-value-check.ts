/** @file Checks that a stored value can be decoded before code that relies on it receives it. */
import { decodeJob } from './job-record.js';
import { parseKey } from './keys.js';
import { decodeLeader } from './leader-record.js';

/**
 * True if a value can be decoded as its key requires. Pages are decoded only where they are needed, so only their
 * type is checked.
 */
export function isDecodable(key: string, value: unknown): boolean {
  const { kind } = parseKey(key);
  try {
    if (kind === 'job') decodeJob(value);
    if (kind === 'leader') decodeLeader(value);
  } catch {
    // Catches errors of all kinds, because a number that does not fit into a duration causes a RangeError.
    return false;
  }
  return kind !== 'page' || typeof value === 'string';
}
