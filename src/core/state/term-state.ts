/** @file The leader's term: its fencing token, and how surely the state store still confirms the leadership. */
import type { Duration, MonotonicTime } from '../model/time.js';

/** What a term begins with. */
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

/** The term as it goes on. */
export interface TermState {
  /** The token now in force: it advances within a term. */
  fencingToken: number;
  /** The token with which the term began: a worker that shows it obeys this term. */
  readonly firstFencingToken: number;
  readonly startedAt: MonotonicTime;
  readonly previousLeadersDeadline: MonotonicTime;
  /** Last moment at which the state store surely knew this process as leader, with a replica that was current. */
  confirmedAt: MonotonicTime;
  tokenAdvancedAt: MonotonicTime;
  /** When a machine last sent its first heartbeat of this term. */
  lastWorkerJoinedAt: MonotonicTime;
  /** Moving average of how late timers fire in this process. */
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
