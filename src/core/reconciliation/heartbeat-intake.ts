/**
 * @file Handles workers' heartbeats, whether sent by the worker itself or in the response to direct commands: decides
 * which are current, and updates the machine. The modules that it calls conclude what a current heartbeat proves about
 * tasks.
 */
import { dropCompletedForgets } from '../commands/forgets.js';
import { dropFencedStarts } from '../commands/start-tracking.js';
import { isUsable } from '../machines/free-resources.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { Heartbeat, HeartbeatOrigin } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { beginAgentEpoch } from './agent-epochs.js';
import { reconcileAssignments } from './assignment-reconciliation.js';
import { onTaskExited } from './task-exits.js';

/** Handles a heartbeat that a worker sent by itself. */
export function onWorkerHeartbeat(state: ClusterState, heartbeat: Heartbeat, now: Timestamp): void {
  applyHeartbeat(state, heartbeat, { kind: 'worker' }, now);
  recordFirstHeartbeat(state, heartbeat.machineName, now);
  dropCompletedForgets(state.commands, heartbeat);
}

/**
 * Applies a heartbeat, whether a worker sent it by itself or in the response to direct commands. Exits count even in
 * delayed heartbeats; the absence of a task counts only in current ones.
 */
export function applyHeartbeat(
  state: ClusterState,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  now: Timestamp,
): void {
  // The tokens of this term go up to this revision, and those of later leaders are higher.
  if (heartbeat.fencingToken > state.term.confirmedRevision) {
    state.effects.push({ kind: 'superseded', fencingToken: heartbeat.fencingToken });
    return;
  }
  if (state.machines.terminated.has(heartbeat.machineName)) {
    emitLog(state, 'heartbeat of a terminated machine ignored', {
      machine: heartbeat.machineName,
      sequence: heartbeat.sequence,
    });
    return;
  }
  const machine = getOrAddMachine(state, heartbeat.machineName, now.monotonic);
  for (const task of heartbeat.tasks)
    if (task.state === 'exited') onTaskExited(state, machine, heartbeat, task, now);
  if (!isCurrent(machine, heartbeat)) {
    if (origin.kind === 'worker') recordOwnSequence(machine, heartbeat);
    emitLog(state, 'delayed heartbeat', {
      machine: heartbeat.machineName,
      agentEpoch: heartbeat.agentEpoch,
      sequence: heartbeat.sequence,
    });
    return;
  }
  const wasUsable = isUsable(state, machine, now.monotonic);
  const showsHigherToken = heartbeat.fencingToken > machine.fencingToken;
  updateFromHeartbeat(state, machine, heartbeat, now);
  if (origin.kind === 'worker') recordOwnSequence(machine, heartbeat);
  if (showsHigherToken) dropFencedStarts(state.commands, machine);
  reconcileAssignments(state, machine, heartbeat, origin, now.monotonic);
  if (isUsable(state, machine, now.monotonic) !== wasUsable) state.scheduling.cycleNeeded = true;
}

/**
 * True if the heartbeat is newer than the machine's last one, by agent epoch and then by sequence number. A heartbeat
 * that is not newer proves nothing about the present state.
 */
const isCurrent = (machine: Machine, heartbeat: Heartbeat): boolean =>
  heartbeat.agentEpoch > machine.agentEpoch ||
  (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence > machine.sequence);

/** Records a heartbeat that the worker sent by itself, also a delayed one, by its sequence number. */
function recordOwnSequence(machine: Machine, heartbeat: Heartbeat): void {
  if (heartbeat.agentEpoch !== machine.agentEpoch) return;
  machine.ownSequence = Math.max(machine.ownSequence, heartbeat.sequence);
}

/**
 * Records when a machine's worker first sent a heartbeat by itself in this term. Such a machine needs no probe for a
 * while, because it is expected to show the fencing token by itself.
 */
function recordFirstHeartbeat(state: ClusterState, machineName: string, now: Timestamp): void {
  const machine = state.machines.byName.get(machineName);
  if (machine === undefined || machine.firstHeartbeatAt !== null) return;
  machine.firstHeartbeatAt = now.monotonic;
  state.term.lastWorkerJoinedAt = now.monotonic;
}

function updateFromHeartbeat(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  now: Timestamp,
): void {
  machine.endpoint = heartbeat.endpoint;
  if (machine.type !== heartbeat.type) machine.resources = null;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  state.machines.booting.delete(machine.name);
  if (heartbeat.agentEpoch > machine.agentEpoch)
    beginAgentEpoch(state, machine, heartbeat.agentEpoch, now.monotonic);
  machine.sequence = heartbeat.sequence;
  machine.fencingToken = heartbeat.fencingToken;
  machine.lastHeartbeatAt = now.monotonic;
  machine.preemptionAt =
    heartbeat.preemptionNotice === null ? null : now.monotonic + heartbeat.preemptionNotice;
  if (heartbeat.fencingToken >= state.term.firstFencingToken) machine.hasShownTermToken = true;
}
