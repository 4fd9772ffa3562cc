/** @file Adds machines to the leader's table. */
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Returns the machine with that name, and adds it if it is not in the table. */
export function getOrAddMachine(state: ClusterState, name: string, now: MonotonicTime): Machine {
  const existing = state.machines.byName.get(name);
  if (existing !== undefined) return existing;
  const machine = newMachine(name, state.term.previousLeadersDeadline, now);
  state.machines.byName.set(name, machine);
  state.machines.longestNameBytes = Math.max(
    state.machines.longestNameBytes,
    encodeURIComponent(name).length,
  );
  return machine;
}

/** A machine of which nothing is known. A previous leader may have acknowledged its heartbeats until its deadline. */
const newMachine = (name: string, previousLeadersDeadline: MonotonicTime, now: MonotonicTime): Machine => ({
  name,
  endpoint: '',
  type: '',
  zone: '',
  spot: false,
  agentEpoch: 0,
  sequence: 0,
  ownSequence: 0,
  fencingToken: 0,
  raisedToken: 0,
  preemptionAt: null,
  lastAcknowledgedAt: previousLeadersDeadline,
  lastHeartbeatAt: 0n,
  firstHeartbeatAt: null,
  hasShownTermToken: false,
  lastExpiredEpoch: 0,
  assignments: new Map(),
  reportedTasks: new Map(),
  cachedImages: new Map(),
  failuresByJob: new Map(),
  quarantined: false,
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
});
