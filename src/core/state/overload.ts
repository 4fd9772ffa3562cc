/** @file Whether the process is overloaded, by its event-loop lag. */
import { seconds } from '../model/time.js';
import type { TermState } from './term-state.js';

const OVERLOAD_LAG_THRESHOLD = seconds(0.1);

/**
 * Whether the event-loop lag is so high that everything else must give way to heartbeats. On a small share of a core a
 * failover brings more work at once than can be done in time; direct calls to workers, each of which costs several
 * times as much as a heartbeat, then took the time in which heartbeats should have been acknowledged, and leases
 * expired.
 */
export const isOverloaded = (term: TermState): boolean => term.eventLoopLag > OVERLOAD_LAG_THRESHOLD;
