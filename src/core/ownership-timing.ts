import type { Facts } from './model.js';
import { seconds, type Span, type Steady } from './time.js';
import { withDrift } from './cluster-state.js';

/**
 * How long an owner that has lost the state service may go on answering reports. A user can be told "cancelled" by
 * another controller right after our last contact; from then on every task must be gone within `cancel`. A report
 * answered at the last moment keeps its worker's lease for `lease` more, so both together must fit.
 */
export function answeringSpan(facts: Facts): Span {
  const margin = seconds(2);
  const span = facts.cancel - withDrift(facts.lease) - margin;
  return span > 0n ? span : 0n;
}

/** From when on no earlier owner answers: each lost contact before our term began. */
export function othersQuietFrom(facts: Facts, began: Steady): Steady {
  return began + withDrift(answeringSpan(facts)) + seconds(0.5);
}

/** Whether an owner with such a last contact may still answer reports. */
export function mayAnswer(facts: Facts, contact: Steady, now: Steady): boolean {
  return now - contact <= answeringSpan(facts);
}

/** Starting anything needs a recent word from the state service: an owner cut from it starts nothing. */
export function mayStart(contact: Steady, now: Steady): boolean {
  return now - contact <= seconds(3);
}
