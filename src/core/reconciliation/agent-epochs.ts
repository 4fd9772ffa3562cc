/**
 * @file Handles a new agent epoch of a worker: the worker has killed and forgotten all tasks of earlier epochs, and
 * refuses commands for those epochs.
 */
import { endAssignment } from '../assignments/assignments.js';
import { dropForgets } from '../commands/forgets.js';
import { dropStartsOfEndedEpoch } from '../commands/start-tracking.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, laterOf } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { markUnreachable } from './reachability.js';
import { leaseExpiry } from '../machines/lease-expiry.js';

/**
 * An agent epoch may end a little before its lease should have expired, because the last heartbeats before a worker
 * hangs may be acknowledged without the response reaching it. That does not explain an end this many heartbeat
 * intervals too early.
 */
const EARLY_EXPIRY_HEARTBEAT_INTERVALS = 4n;

/** Records that a machine's worker has begun a newer agent epoch, and ends the assignments of earlier epochs. */
export function beginAgentEpoch(
  state: ClusterState,
  machine: Machine,
  agentEpoch: number,
  now: MonotonicTime,
): void {
  if (endedBeforeLeaseExpiry(state, machine, now)) markUnreachable(state, machine, now);
  machine.agentEpoch = agentEpoch;
  machine.sequence = 0;
  machine.ownSequence = 0;
  machine.answeredSequences = [];
  machine.unacknowledgedStarts = 0;
  // The lease of an epoch starts with the epoch, even if none of its heartbeats has been acknowledged yet. If it were
  // counted from an older acknowledgement, it would expire here while the worker still holds it, and a start command in
  // flight would start a task whose assignment has been ended.
  machine.lastAcknowledgedAt = laterOf(machine.lastAcknowledgedAt, now);
  machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, agentEpoch - 1);
  dropStartsOfEndedEpoch(state.commands, machine.name);
  dropForgets(state.commands, machine.name);
  for (const assignment of [...machine.assignments.values()])
    if (assignment.agentEpoch < agentEpoch) endAssignment(state, assignment, false, 'newer agent epoch', now);
  state.scheduling.cycleNeeded = true;
}

/**
 * True if the worker's agent epoch ended well before its lease should have expired. The lease expired although
 * heartbeats were acknowledged in time, so nothing that the leader sends reaches the worker.
 */
function endedBeforeLeaseExpiry(state: ClusterState, machine: Machine, now: MonotonicTime): boolean {
  const earlyThreshold =
    leaseExpiry(state, machine) - state.config.heartbeatInterval * EARLY_EXPIRY_HEARTBEAT_INTERVALS;
  return (
    machine.agentEpoch > 0 &&
    machine.lastExpiredEpoch < machine.agentEpoch &&
    machine.hasShownTermToken &&
    now < earlyThreshold
  );
}
