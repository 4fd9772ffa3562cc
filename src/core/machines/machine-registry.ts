/** @file The machines that the owner of a part knows. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';

/** The machine of that name, made known when it is not. */
export function getOrAddMachine(state: ClusterState, name: string, now: MonotonicTime): Machine {
  let machine = state.machines.byName.get(name);
  if (machine === undefined) {
    machine = {
      name,
      endpoint: '',
      type: '',
      zone: '',
      spot: false,
      agentEpoch: 0,
      sequence: 0,
      fencingToken: 0,
      preemptionAt: null,
      lastAcknowledgedAt: state.term.previousLeadersDeadline,
      lastHeartbeatAt: 0n,
      firstHeartbeatAt: null,
      fenced: false,
      lastExpiredEpoch: 0,
      assignments: new Map(),
      reportedTasks: new Map(),
      cachedImages: new Map(),
      failuresByJob: new Map(),
      quarantined: false,
      quarantinedSince: null,
      idleSince: null,
      instanceState: null,
      lastListedAt: null,
      releasing: false,
      draining: false,
      firstSeenAt: now,
      answeredSequences: [],
      unacknowledgedStarts: 0,
      unacknowledgedSequence: 0,
      unreachableSince: null,
      probedAt: null,
      resources: null,
      hasOrphanedTasks: false,
    };
    state.machines.byName.set(name, machine);
    state.machines.longestNameBytes = Math.max(
      state.machines.longestNameBytes,
      encodeURIComponent(name).length,
    );
  }
  return machine;
}
