/**
 * @file What a new agent epoch of a worker means: it has killed all tasks of the epochs before and forgotten them, and
 * refuses commands for those epochs.
 */
import { endAssignment } from '../assignments/assignments.js';
import { dropForgets } from '../commands/forgets.js';
import { dropUnresolvedStarts } from '../commands/start-tracking.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, laterOf } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { markUnreachable } from './reachability.js';
import { leaseExpiry } from '../machines/lease-expiry.js';

/**
 * The last heartbeats before a worker hangs may be acknowledged without reaching it. An epoch that ends this many
 * heartbeat intervals before its lease should have expired is not explained by that.
 */
const EARLY_EXPIRY_HEARTBEAT_INTERVALS = 4n;

/** Starts a newer agent epoch of a machine. */
export function beginAgentEpoch(
  state: ClusterState,
  machine: Machine,
  agentEpoch: number,
  now: MonotonicTime,
): void {
  if (endedBeforeLeaseExpiry(state, machine, now)) markUnreachable(state, machine, now);
  machine.agentEpoch = agentEpoch;
  machine.sequence = 0;
  machine.answeredSequences = [];
  machine.unacknowledgedStarts = 0;
  // The lease of an epoch runs from its beginning, also where no heartbeat of it was acknowledged yet. Counted from an
  // older acknowledgement it would expire here while the worker holds it, and a start command in flight would start
  // what was ended.
  machine.lastAcknowledgedAt = laterOf(machine.lastAcknowledgedAt, now);
  machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, agentEpoch - 1);
  dropUnresolvedStarts(state.commands, machine.name);
  dropForgets(state.commands, machine.name);
  for (const assignment of [...machine.assignments.values()])
    if (assignment.agentEpoch < agentEpoch) endAssignment(state, assignment, false, 'newer agent epoch', now);
  state.scheduling.cycleNeeded = true;
}

/** The worker's lease expired although its heartbeats were acknowledged in time: nothing that we send reaches it. */
function endedBeforeLeaseExpiry(state: ClusterState, machine: Machine, now: MonotonicTime): boolean {
  const earlyThreshold =
    leaseExpiry(state, machine) - state.config.heartbeatInterval * EARLY_EXPIRY_HEARTBEAT_INTERVALS;
  return (
    machine.agentEpoch > 0 &&
    machine.lastExpiredEpoch < machine.agentEpoch &&
    machine.fenced &&
    now < earlyThreshold
  );
}
