/**
 * @file The keys of the controllers' records in the state store. All keys start with a tenant, so that one state
 * store may hold several clusters later. Keys are stored, so they must not change when
 * names in the code change.
 */

const TENANT = 'main';

/** The prefix of all keys of this cluster. */
export const KEY_PREFIX = `${TENANT}/`;
/** The key that names the leader of a partition. */
export const leaderKey = (partition: string): string => `${TENANT}/part/${partition}`;
/** The key of a job. */
export const jobKey = (jobId: string): string => `${TENANT}/job/${jobId}`;
/** The key of a page of chunk records. */
export const pageKey = (partition: string, pageId: number): string => `${TENANT}/page/${partition}/${pageId}`;
/** The key of the zone record, from which a new leader continues; older versions ignore it. */
export const zoneRecordKey = (partition: string): string => `${TENANT}/zones/${partition}`;
/**
 * The key under which a controller announces its version's features; versions that do not support such keys ignore
 * them.
 */
export const versionKey = (label: string): string => `${TENANT}/version/${label}`;

/** A parsed key. `other` stands for all other keys, including those of zone records and of later versions. */
export type Key =
  | { readonly kind: 'leader'; readonly partition: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'page'; readonly partition: string; readonly id: number }
  | { readonly kind: 'version'; readonly label: string }
  | { readonly kind: 'other' };

/** Parses a key. */
export function parseKey(key: string): Key {
  const [, kind, name, id] = key.split('/');
  if (name === undefined) return { kind: 'other' };
  if (kind === 'part') return { kind: 'leader', partition: name };
  if (kind === 'job') return { kind: 'job', id: name };
  if (kind === 'page' && id !== undefined) return { kind: 'page', partition: name, id: Number(id) };
  if (kind === 'version') return { kind: 'version', label: name };
  return { kind: 'other' };
}
