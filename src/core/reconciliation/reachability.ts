/**
 * @file Tracks unreachable machines: their heartbeats arrive, but nothing that is sent to them does. They get no new
 * tasks; tasks assigned to them count as running until their heartbeats prove the tasks gone.
 */
import { requestProbe } from '../commands/probes.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { isOverloaded } from '../state/overload.js';

/**
 * If this many consecutive start commands have no effect on the next heartbeats, the cause is more than lost packets.
 */
const MAX_UNACKNOWLEDGED_STARTS = 3;

/** How often an unreachable machine is probed. */
const PROBE_INTERVAL = seconds(3);

/** Marks a machine as unreachable. */
export function markUnreachable(state: ClusterState, machine: Machine, now: MonotonicTime): void {
  if (machine.unreachableSince !== null) return;
  // An overloaded process sends responses after the worker has stopped waiting, which proves nothing about the machine.
  if (isOverloaded(state.term)) return;
  machine.unreachableSince = now;
  emitLog(state, 'machine unreachable', { machine: machine.name }, 'info');
}

/** Marks a machine as reachable. Only evidence that it received a command proves that; a heartbeat alone does not. */
export function markReachable(state: ClusterState, machine: Machine): void {
  machine.unacknowledgedStarts = 0;
  if (machine.unreachableSince === null) return;
  machine.unreachableSince = null;
  state.scheduling.cycleNeeded = true;
}

/** Counts a start command whose task is missing from a heartbeat; several missing from one heartbeat count once. */
export function countUnacknowledgedStart(machine: Machine, sequence: number): void {
  if (machine.unacknowledgedSequence === sequence) return;
  machine.unacknowledgedStarts += 1;
  machine.unacknowledgedSequence = sequence;
}

/** Marks a machine as unreachable if too many consecutive start commands to it were lost. */
export function detectLostStarts(state: ClusterState, machine: Machine, now: MonotonicTime): void {
  if (machine.unacknowledgedStarts >= MAX_UNACKNOWLEDGED_STARTS) markUnreachable(state, machine, now);
}

/** Probes unreachable machines periodically: a response shows that a machine can be reached again. */
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
