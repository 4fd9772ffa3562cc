/** @file The leadership term: its fencing token, and when the state store last confirmed the leadership. */
import type { Duration, MonotonicTime } from '../model/time.js';

/** Initial values of a leadership term. */
export interface LeadershipTerm {
  readonly fencingToken: number;
  readonly startedAt: MonotonicTime;
  /**
   * When the leadership claim was sent. A cancellation confirmed between that time and the beginning of the term may be
   * missing from the replica, so the window for acknowledging heartbeats starts here.
   */
  readonly confirmedAt: MonotonicTime;
  /** After this time no previous leader can acknowledge heartbeats. */
  readonly previousLeadersDeadline: MonotonicTime;
}

/** The current leadership term. */
export interface TermState {
  /** The mod revision of the leader key, which is the fencing token of the term. It advances within a term. */
  fencingToken: number;
  /** The fencing token at the beginning of the term. A worker that reports at least this one has adopted it. */
  readonly firstFencingToken: number;
  readonly startedAt: MonotonicTime;
  readonly previousLeadersDeadline: MonotonicTime;
  /** Latest time at which the state store is known to have had this process as leader, with an up-to-date replica. */
  confirmedAt: MonotonicTime;
  /**
   * Highest revision of the state store at which a compare of the leader key's mod revision succeeded. It is higher than
   * all tokens of earlier leaders and lower than those of all later ones, so it may serve as a token.
   */
  confirmedRevision: number;
  tokenAdvancedAt: MonotonicTime;
  /** Latest time at which a machine sent its first heartbeat of this term. */
  lastWorkerJoinedAt: MonotonicTime;
  /** Moving average of the event-loop lag, that is, how late timers fire in this process. */
  eventLoopLag: Duration;
}

/** Returns the state at the beginning of a term. */
export const newTermState = (term: LeadershipTerm): TermState => ({
  fencingToken: term.fencingToken,
  firstFencingToken: term.fencingToken,
  startedAt: term.startedAt,
  previousLeadersDeadline: term.previousLeadersDeadline,
  confirmedAt: term.confirmedAt,
  confirmedRevision: term.fencingToken,
  tokenAdvancedAt: term.startedAt,
  lastWorkerJoinedAt: term.startedAt,
  eventLoopLag: 0n,
});

/**
 * Records that the state store confirmed the leadership as of `confirmedAt`, by a compare that succeeded at `revision`.
 * Confirmations may arrive out of order.
 */
export function confirmLeadership(term: TermState, confirmedAt: MonotonicTime, revision: number): void {
  if (confirmedAt > term.confirmedAt) term.confirmedAt = confirmedAt;
  term.confirmedRevision = Math.max(term.confirmedRevision, revision);
}

/** Replaces the fencing token by a higher one. */
export function advanceFencingToken(term: TermState, fencingToken: number, now: MonotonicTime): void {
  term.fencingToken = fencingToken;
  term.confirmedRevision = Math.max(term.confirmedRevision, fencingToken);
  term.tokenAdvancedAt = now;
}

/** Records how late a timer of the process fired. */
export function recordEventLoopLag(term: TermState, lag: Duration): void {
  term.eventLoopLag = (term.eventLoopLag * 3n + lag) / 4n;
}
