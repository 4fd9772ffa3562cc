/** @file The leadership term: its fencing token, and when the state store last confirmed the leadership. */
import type { Duration, MonotonicTime } from '../model/time.js';

/** What a leadership term begins with. */
export interface LeadershipTerm {
  readonly fencingToken: number;
  readonly startedAt: MonotonicTime;
  /**
   * When the claim was sent. A cancellation confirmed between that moment and the beginning of the term may not be in
   * the replica yet, so the window for acknowledging heartbeats counts from here.
   */
  readonly confirmedAt: MonotonicTime;
  /** From here on no previous leader can be acknowledging heartbeats. */
  readonly previousLeadersDeadline: MonotonicTime;
}

/** The current leadership term. */
export interface TermState {
  /** The fencing token now in force: it advances within a term. */
  fencingToken: number;
  /** The fencing token with which the term began: a worker that shows it obeys this term. */
  readonly firstFencingToken: number;
  readonly startedAt: MonotonicTime;
  readonly previousLeadersDeadline: MonotonicTime;
  /** Last moment at which the state store is known to have had this process as leader, with an up-to-date replica. */
  confirmedAt: MonotonicTime;
  tokenAdvancedAt: MonotonicTime;
  /** When a machine last sent its first heartbeat of this term. */
  lastWorkerJoinedAt: MonotonicTime;
  /** Moving average of the event-loop lag: how late timers fire in this process. */
  eventLoopLag: Duration;
}

/** The state at the beginning of a term. */
export const newTermState = (term: LeadershipTerm): TermState => ({
  fencingToken: term.fencingToken,
  firstFencingToken: term.fencingToken,
  startedAt: term.startedAt,
  previousLeadersDeadline: term.previousLeadersDeadline,
  confirmedAt: term.confirmedAt,
  tokenAdvancedAt: term.startedAt,
  lastWorkerJoinedAt: term.startedAt,
  eventLoopLag: 0n,
});

/** Records that the state store confirmed the leadership as of that moment. Confirmations may come out of order. */
export function confirmLeadership(term: TermState, confirmedAt: MonotonicTime): void {
  if (confirmedAt > term.confirmedAt) term.confirmedAt = confirmedAt;
}

/** Puts a higher fencing token in force. */
export function advanceFencingToken(term: TermState, fencingToken: number, now: MonotonicTime): void {
  term.fencingToken = fencingToken;
  term.tokenAdvancedAt = now;
}

/** Records how late a timer of the process fired. */
export function recordEventLoopLag(term: TermState, lag: Duration): void {
  term.eventLoopLag = (term.eventLoopLag * 3n + lag) / 4n;
}
