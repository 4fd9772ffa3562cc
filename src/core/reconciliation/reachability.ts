/**
 * @file Machines whose heartbeats arrive while nothing that is sent to them does. They get no new tasks; what they hold
 * counts until their heartbeats prove it gone.
 */
import { requestProbe } from '../commands/probes.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { isOverloaded } from '../state/overload.js';

/** So many start commands in a row of which the next heartbeats show nothing are more than lost packets. */
const MAX_UNACKNOWLEDGED_STARTS = 3;

/** How often an unreachable machine is probed. */
const PROBE_INTERVAL = seconds(3);

/** Marks a machine as unreachable. */
export function markUnreachable(state: ClusterState, machine: Machine, now: MonotonicTime): void {
  if (machine.unreachableSince !== null) return;
  // In an overloaded process answers leave after the worker has stopped waiting: that says nothing about the machine.
  if (isOverloaded(state.term)) return;
  machine.unreachableSince = now;
  emitLog(state, 'machine unreachable', { machine: machine.name }, 'info');
}

/** Marks a machine as reachable. Only a sign that it received a command proves that: a heartbeat alone does not. */
export function markReachable(state: ClusterState, machine: Machine): void {
  machine.unacknowledgedStarts = 0;
  if (machine.unreachableSince === null) return;
  machine.unreachableSince = null;
  state.scheduling.cycleNeeded = true;
}

/** Counts a start command of which a heartbeat shows nothing; several in one heartbeat count once. */
export function countUnacknowledgedStart(machine: Machine, sequence: number): void {
  if (machine.unacknowledgedSequence === sequence) return;
  machine.unacknowledgedStarts += 1;
  machine.unacknowledgedSequence = sequence;
}

/** Marks a machine as unreachable if too many of its start commands in a row were lost. */
export function detectLostStarts(state: ClusterState, machine: Machine, now: MonotonicTime): void {
  if (machine.unacknowledgedStarts >= MAX_UNACKNOWLEDGED_STARTS) markUnreachable(state, machine, now);
}

/** Probes unreachable machines now and then: an answer shows that they can be reached again. */
export function probeUnreachableMachines(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (
      machine.unreachableSince === null ||
      machine.releasing ||
      machine.endpoint === '' ||
      machine.agentEpoch === 0
    )
      continue;
    if (machine.probedAt !== null && now.monotonic - machine.probedAt < PROBE_INTERVAL) continue;
    machine.probedAt = now.monotonic;
    requestProbe(state, machine);
  }
}
