/** @file Field schemas that the protocols of several external systems share. */
import * as z from 'zod';

/** More than any amount or duration can be: beyond it a duration in nanoseconds would not be a number any more. */
export const MAX_AMOUNT = 1e9;

/** A quantity, price or duration in seconds. */
export const amount = z.number().nonnegative().max(MAX_AMOUNT);

/** A counter, revision or identifier; CBOR may decode a large one as a bigint. */
export const count = z.union([z.number().int().nonnegative(), z.bigint().nonnegative().transform(Number)]);

/** A field that may be null or absent; both are decoded as null. */
export const orNull = <T extends z.ZodType>(schema: T) =>
  schema.nullish().transform((value) => value ?? null);
