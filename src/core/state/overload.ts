/** @file When the process is too late with its work for anything that is not needed at once. */
import { seconds } from '../model/time.js';
import type { TermState } from './term-state.js';

const OVERLOAD_LAG = seconds(0.1);

/**
 * Whether the process is so late that what it does on its own initiative must give way to heartbeats. On a small share
 * of a core a failover brings more at once than can be done at once; direct calls to workers, each of which costs
 * several times as much as a heartbeat, then took the time in which heartbeats should have been acknowledged, and
 * leases expired.
 */
export const isOverloaded = (term: TermState): boolean => term.eventLoopLag > OVERLOAD_LAG;
