/** @file The record in which a controller announces the features of its version. */
import * as z from 'zod';

const versionRecord = z.object({ features: z.array(z.string()) });

/** The features of a controller's version, as stored. */
export type VersionRecord = z.infer<typeof versionRecord>;

/** Decodes the features of a version; returns none if the record is malformed. */
export const decodeFeatures = (value: unknown): readonly string[] =>
  versionRecord.safeParse(value).data?.features ?? [];
