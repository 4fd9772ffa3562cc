/** @file The record by which a controller announces what its version can do. */
import * as z from 'zod';

const versionRecord = z.object({ features: z.array(z.string()) });

/** The features of a controller's version, as stored. */
export type VersionRecord = z.infer<typeof versionRecord>;

/** Decodes the features of a version; a malformed record has none. */
export const decodeFeatures = (value: unknown): readonly string[] =>
  versionRecord.safeParse(value).data?.features ?? [];
