/** @file Why a leader's term ends, as a type, and how it is logged. */
import type { LogFields } from '../runtime/logger.js';

/** Why a leader's term ended. */
export type TermEndReason =
  /** The process is shutting down. */
  | { readonly kind: 'shutdown' }
  /** The lease that the leader key hangs on expired in the state store. */
  | { readonly kind: 'lease-expired' }
  /** A transaction conflicted on the leader key, and the key is not this process's any more. */
  | { readonly kind: 'leader-key-conflict' }
  /** The watch showed that the leader key is gone or another process's. */
  | { readonly kind: 'leader-key-replaced' }
  /** A page has a mod revision that this term did not write. */
  | { readonly kind: 'foreign-page-write' }
  /** A worker has seen a higher fencing token. */
  | { readonly kind: 'superseded'; readonly seenFencingToken: number }
  /** The leader gave way to another controller, which may reach what this one does not. */
  | { readonly kind: 'stepped-down'; readonly cause: string };

/** The reason as fields of a log line: `reason` is the kind, everything else keeps its name. */
export function termEndLogFields({ kind, ...details }: TermEndReason): LogFields {
  return { reason: kind, ...details };
}
