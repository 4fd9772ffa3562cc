/** @file The reasons why a leader's term ends, and their fields in log lines. */
import type { LogFields } from '../runtime/logger.js';

/** The reason why a leader's term ended. */
export type TermEndReason =
  /** The process is shutting down. */
  | { readonly kind: 'shutdown' }
  /** The lease to which the leader key is attached expired in the state store. */
  | { readonly kind: 'lease-expired' }
  /** A transaction conflicted on the leader key, and the key no longer belongs to this process. */
  | { readonly kind: 'leader-key-conflict' }
  /** The watch showed that the leader key was deleted or belongs to another process. */
  | { readonly kind: 'leader-key-replaced' }
  /** A page has a mod revision that does not come from a write of this term. */
  | { readonly kind: 'foreign-page-write' }
  /** A worker has received a higher fencing token. */
  | { readonly kind: 'superseded'; readonly seenFencingToken: number }
  /** The leader stepped down in favor of another controller, which may reach workers that this one cannot. */
  | { readonly kind: 'stepped-down'; readonly cause: string };

/** Returns the reason as the fields of a log line: `reason` is the kind, and all other fields keep their names. */
export function termEndLogFields({ kind, ...details }: TermEndReason): LogFields {
  return { reason: kind, ...details };
}
