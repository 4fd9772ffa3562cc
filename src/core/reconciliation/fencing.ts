/**
 * @file Probes workers that have not shown this term's fencing token, so that they adopt it and accept commands from
 * this term only, and detects when only a higher token allows progress.
 */
import { startNeverSent } from '../assignments/assignments.js';
import { requestProbe } from '../commands/probes.js';
import { taskKey } from '../model/assignment.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { isOverloaded } from '../state/overload.js';

/**
 * Upper bound on machines probed in one sweep: without it, a failover would probe all machines of a large fleet at
 * once.
 */
const MAX_PROBES_PER_SWEEP = 50;

/**
 * Upper bound on machines probed in one sweep while workers are still joining (sending their first heartbeat of the
 * term) by themselves, or while the process is overloaded.
 */
const MAX_PROBES_PER_SWEEP_WHEN_BUSY = 1;

/** If no worker has joined for this long, the remaining workers are not expected to join without a probe. */
const JOIN_QUIET_PERIOD = seconds(1);

/**
 * How long a machine has, after its first heartbeat of the term, to show this term's fencing token without a probe. A
 * worker that receives a higher token sends its next heartbeat half a second later.
 */
const TOKEN_ECHO_TIMEOUT = seconds(1.5);

/** How often a machine that has not shown this term's fencing token is probed. */
const PROBE_INTERVAL = seconds(2);

/** A worker that has sent no heartbeat for more than this many intervals would not show a higher token either. */
const MAX_HEARTBEAT_INTERVALS_MISSED = 3n;

/**
 * Probes machines that have not shown this term's fencing token, so that they adopt it before anything else is done. A
 * machine that sends heartbeats shows the token in the heartbeat after the first acknowledged one. It is probed only if
 * it does not, because a direct call costs several times as much as a heartbeat. Machines with assignments come first.
 */
export function probeForTermToken(state: ClusterState, now: Timestamp): void {
  const machinesToProbe: Machine[] = [];
  for (const machine of state.machines.byName.values())
    if (needsProbe(machine, now)) machinesToProbe.push(machine);
  const workersStillJoining = now.monotonic - state.term.lastWorkerJoinedAt < JOIN_QUIET_PERIOD;
  const limit =
    workersStillJoining || isOverloaded(state.term) ? MAX_PROBES_PER_SWEEP_WHEN_BUSY : MAX_PROBES_PER_SWEEP;
  if (machinesToProbe.length > limit) machinesToProbe.sort((a, b) => b.assignments.size - a.assignments.size);
  for (const machine of machinesToProbe.slice(0, limit)) {
    machine.probedAt = now.monotonic;
    // The agent epoch of a machine that has sent no heartbeat is unknown; the worker's refusal reports the right one.
    requestProbe(state, machine, Math.max(machine.agentEpoch, 1));
  }
}

function needsProbe(machine: Machine, now: Timestamp): boolean {
  if (machine.hasShownTermToken || machine.endpoint === '') return false;
  if (machine.instanceState === 'booting' || machine.instanceState === 'failed') return false;
  if (machine.probedAt !== null && now.monotonic - machine.probedAt < PROBE_INTERVAL) return false;
  return machine.firstHeartbeatAt === null || now.monotonic - machine.firstHeartbeatAt >= TOKEN_ECHO_TIMEOUT;
}

/**
 * Probes a machine again at once after its worker refused a direct call: the refusal has reported its agent epoch.
 */
export function retryTokenProbe(state: ClusterState, machineName: string): void {
  const machine = state.machines.byName.get(machineName);
  if (machine === undefined || machine.hasShownTermToken || machine.agentEpoch === 0) return;
  requestProbe(state, machine);
}

/** Requests an advance of the fencing token if a higher one is needed. */
export function requestTokenAdvance(state: ClusterState, now: Timestamp): void {
  const reason = tokenAdvanceReason(state, now);
  if (reason === null) return;
  state.term.tokenAdvancedAt = now.monotonic;
  state.effects.push({ kind: 'advance-token', reason });
}

/**
 * Returns why a higher fencing token is needed, or null if it is not needed now. An unresolved start command may block
 * progress, and only a higher token on the worker proves that the command will never be executed.
 */
function tokenAdvanceReason(state: ClusterState, now: Timestamp): string | null {
  if (
    now.monotonic - state.term.tokenAdvancedAt < state.config.workerLease / 2n ||
    !mayStartTasks(state.term.confirmedAt, now.monotonic)
  )
    return null;
  for (const [machineName, unresolved] of state.commands.unresolvedStarts) {
    const machine = state.machines.byName.get(machineName);
    if (
      machine === undefined ||
      unresolved.size === 0 ||
      now.monotonic - machine.lastHeartbeatAt >
        state.config.heartbeatInterval * MAX_HEARTBEAT_INTERVALS_MISSED
    )
      continue;
    if (blocksStop(state, machine)) return `unresolved start blocks a stop: ${machineName}`;
  }
  return null;
}

function blocksStop(state: ClusterState, machine: Machine): boolean {
  for (const assignment of machine.assignments.values())
    if (
      assignment.stopRequest !== null &&
      !machine.reportedTasks.has(taskKey(assignment.jobId, assignment.taskIndex)) &&
      !startNeverSent(state, assignment)
    )
      return true;
  return false;
}
