/**
 * @file The record that names the leader of a partition. It is stored with the leadership lease and is deleted when
 * the lease expires.
 */
import * as z from 'zod';
import { MalformedRecordError } from './errors.js';

const leaderRecord = z.object({ label: z.string(), incarnation: z.string() });

/** The controller that leads a partition. The incarnation distinguishes processes that run under the same label. */
export type LeaderRecord = z.infer<typeof leaderRecord>;

/** Decodes a leader record; throws {@link MalformedRecordError} if it is malformed. */
export function decodeLeader(value: unknown): LeaderRecord {
  const parsed = leaderRecord.safeParse(value);
  if (!parsed.success)
    throw new MalformedRecordError('leader', parsed.error.message, { cause: parsed.error });
  return parsed.data;
}
