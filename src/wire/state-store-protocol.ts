/**
 * @file The state store's interface: paths, transactions, leases, reads and the watch. The names of that interface
 * (`ledgerRev`, `stamp`, `permit`, `holds`, `news`, ...) are mapped to the program's own terms in this module and are
 * used nowhere else.
 */
import * as z from 'zod';
import { parseBody, type ParseResult } from './parse-result.js';
import { count } from './schema-parts.js';

/** A compare condition of a transaction: the key must have this mod revision, or must not exist if it is 0. */
export interface CompareCondition {
  readonly key: string;
  readonly modRevision: number;
}

/** One write of a transaction. A key that is put with a lease is deleted when the lease expires. */
export type WriteOperation =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly leaseId?: number }
  | { readonly kind: 'delete'; readonly key: string };

/** The path of transactions. */
export const COMMIT_PATH = '/commit';
/** The path of lease grants. */
export const LEASES_PATH = '/holds';
/** The path of one lease. */
export const leasePath = (leaseId: number): string => `${LEASES_PATH}/${leaseId}`;
/** The path that renews a lease. */
export const leaseRenewalPath = (leaseId: number): string => `${leasePath(leaseId)}/touch`;
/** The path of one key. */
export const keyPath = (key: string): string => `/store/${key}`;
/**
 * Returns the path of a page of all keys with a prefix, in order, starting after the key `after`, or at the first key
 * if `after` is null.
 */
export const keyRangePath = (prefix: string, limit: number, after: string | null): string =>
  `/store?under=${prefix}&page=${limit}${after === null ? '' : `&from=${after}`}`;
/** Returns the path of a watch for the changes since a revision, for which the state store waits up to `waitMs`. */
export const watchPath = (prefix: string, sinceRevision: number, waitMs: number): string =>
  `/follow?under=${prefix}&from=${sinceRevision}&holdMs=${waitMs}`;

/** Encodes a transaction: all writes are carried out if every condition holds, otherwise none. */
export const encodeTransaction = (
  conditions: readonly CompareCondition[],
  operations: readonly WriteOperation[],
): unknown => ({
  guards: conditions.map(({ key, modRevision }) => ({ key, stamp: modRevision })),
  writes: operations.map(encodeOperation),
});

const encodeOperation = (operation: WriteOperation): unknown =>
  operation.kind === 'put'
    ? { write: operation.key, value: operation.value, permit: operation.leaseId }
    : { delete: operation.key };

/** Encodes the request for a lease that expires unless it is renewed within `ttlMs`. */
export const encodeLeaseGrant = (ttlMs: number): unknown => ({ ttlMs });

const commitResponse = z.object({ ledgerRev: count });

/** Decodes the revision at which a transaction was committed. */
export const parseCommitResponse = (body: unknown): ParseResult<number> =>
  parseBody(commitResponse, body, ({ ledgerRev }) => ledgerRev);

const conflictResponse = z.object({ failed: z.array(z.string()), ledgerRev: count });

/**
 * The response to a transaction that was not carried out: the keys whose conditions failed, and the revision at which
 * the conditions were checked.
 */
export interface Conflict {
  readonly failedKeys: readonly string[];
  readonly revision: number;
}

/** Decodes a conflict. */
export const parseConflict = (body: unknown): ParseResult<Conflict> =>
  parseBody(conflictResponse, body, ({ failed, ledgerRev }) => ({ failedKeys: failed, revision: ledgerRev }));

const leaseResponse = z.object({ permit: count });

/** Decodes the id of a granted lease. */
export const parseLeaseId = (body: unknown): ParseResult<number> =>
  parseBody(leaseResponse, body, ({ permit }) => permit);

const keyResponse = z.object({ value: z.unknown(), stamp: count });

/** Decodes the value of one key. */
export const parseKeyValue = (body: unknown): ParseResult<unknown> =>
  parseBody(keyResponse, body, ({ value }) => value);

const keyRangeResponse = z.object({
  items: z.array(z.object({ key: z.string(), value: z.unknown(), stamp: count })),
  hasNext: z.boolean(),
  ledgerRev: count,
});

/** A key with its value and the revision at which it was last written. */
interface KeyValue {
  readonly key: string;
  readonly value: unknown;
  readonly modRevision: number;
}

/** A page of keys as of a revision. */
export interface KeyRangePage {
  readonly items: readonly KeyValue[];
  /** True if further pages follow. */
  readonly hasMore: boolean;
  readonly revision: number;
}

/** Decodes a page of keys. */
export const parseKeyRange = (body: unknown): ParseResult<KeyRangePage> =>
  parseBody(keyRangeResponse, body, ({ items, hasNext, ledgerRev }) => ({
    items: items.map(({ key, value, stamp }) => ({ key, value, modRevision: stamp })),
    hasMore: hasNext,
    revision: ledgerRev,
  }));

const watchResponse = z.object({
  ledgerRev: count,
  news: z.array(
    z.object({
      write: z.string().optional(),
      delete: z.string().optional(),
      value: z.unknown().optional(),
      stamp: count,
    }),
  ),
});

/** All changes of keys up to a revision. A deleted key has the value null. */
export interface WatchBatch {
  readonly events: readonly KeyValue[];
  readonly revision: number;
}

/** Decodes the response of a watch; changes without a key are omitted. */
export const parseWatchBatch = (body: unknown): ParseResult<WatchBatch> =>
  parseBody(watchResponse, body, ({ news, ledgerRev }) => {
    const events: KeyValue[] = [];
    for (const change of news) {
      const key = change.write ?? change.delete;
      if (key === undefined) continue;
      events.push({
        key,
        value: change.write === undefined ? null : change.value,
        modRevision: change.stamp,
      });
    }
    return { events, revision: ledgerRev };
  });
