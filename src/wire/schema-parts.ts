/** @file Field schemas that the protocols of several external systems share. */
import * as z from 'zod';

/**
 * More than any amount or duration in seconds can be. Without a bound, a huge number of seconds would become infinite
 * when it is converted to nanoseconds, and would no longer be a valid duration.
 */
export const MAX_AMOUNT = 1e9;

/** A quantity, price or duration in seconds. */
export const amount = z.number().nonnegative().max(MAX_AMOUNT);

/** A counter, revision or identifier; CBOR may decode a large one as a bigint. */
export const count = z.union([z.number().int().nonnegative(), z.bigint().nonnegative().transform(Number)]);

/** A field that may be null or absent; both are decoded as null. */
export const orNull = <T extends z.ZodType>(schema: T) =>
  schema.nullish().transform((value) => value ?? null);
