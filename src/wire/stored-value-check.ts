/** @file The check that a stored value can be decoded, before anything that relies on it sees it. */
import { decodeJob } from './job-record.js';
import { parseKey } from './keys.js';
import { decodeLeader } from './leader-record.js';

/** Whether a value can be what its key says. Pages are decoded only by who needs them, so only their type is checked. */
export function isDecodable(key: string, value: unknown): boolean {
  const { kind } = parseKey(key);
  try {
    if (kind === 'job') decodeJob(value);
    if (kind === 'leader') decodeLeader(value);
  } catch {
    // Of whatever kind: a number that no duration can hold is a RangeError.
    return false;
  }
  return kind !== 'page' || typeof value === 'string';
}
