/** @file Detection of an overloaded process by its event-loop lag. */
import { seconds } from '../model/time.js';
import type { TermState } from './term-state.js';

const OVERLOAD_LAG_THRESHOLD = seconds(0.1);

/**
 * Whether the event-loop lag is so high that heartbeats must take precedence over everything else. On a small share of
 * a core, a failover causes more work at once than can be done in time. Direct calls to workers, each of which costs
 * several times as much as a heartbeat, then delayed the acknowledgement of heartbeats until leases expired.
 */
export const isOverloaded = (term: TermState): boolean => term.eventLoopLag > OVERLOAD_LAG_THRESHOLD;
