import type { MonotonicTime } from '../model/time.js';

/** What a term as owner begins with. */
export interface LeadershipTerm {
  readonly fencingToken: number;
  readonly startedAt: MonotonicTime;
  /**
   * When the claim was sent. A cancellation confirmed between that moment and the beginning of the term may not be in
   * the copy yet, so the answering span counts from here.
   */
  readonly confirmedAt: MonotonicTime;
  readonly previousLeadersDeadline: MonotonicTime;
}
