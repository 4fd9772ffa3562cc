import { seconds } from '../model/time.js';
import type { ClusterState } from './cluster-state.js';

const BEHIND = seconds(0.1);

/**
 * Whether the process is so late that what it does of its own accord must give way to what workers ask. On a small
 * share of a core a takeover brings more at once than can be done at once; direct calls, each of which costs several
 * times as much as a report, then took the time in which the reports should have been answered, and leases ran out.
 */
export const isOverloaded = (state: ClusterState): boolean => state.lateness > BEHIND;
