/**
 * @file Decides whether a heartbeat that does not list a task proves that the task is not on the machine and will not
 * start there. It does only if no copy of the start command can be executed after the heartbeat was made. The section
 * "What a message proves about a start" of docs/safety.md derives the rules from the protocol.
 */
import { requestProbe } from '../commands/probes.js';
import { type Assignment, type StartDelivery, taskKey } from '../model/assignment.js';
import { withClockDrift } from '../model/clock-drift.js';
import type { Heartbeat, HeartbeatOrigin } from '../model/heartbeat.js';
import type { Machine } from '../model/machine.js';
import { type MonotonicTime, type Timestamp, laterOf, seconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { startMayStillArrive } from '../state/command-state.js';
import { emitLog } from '../state/log-effects.js';

/** A worker drops the response to a heartbeat if it has waited for it for this long. */
const RESPONSE_TIMEOUT = seconds(4);

/** Added to the response timeout for the resolution of the worker's timer. */
const RESPONSE_TIMEOUT_MARGIN = seconds(0.5);

/** How often a machine is probed for the proof that a task which is to be stopped is absent. */
const PROBE_INTERVAL = seconds(2);

type DeliveryInResponse = Extract<StartDelivery, { kind: 'response' }>;

/** Whether the machine's newest heartbeat, which does not list the assignment's task, proves that it is absent. */
export function provesAbsence(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  assignment: Assignment,
): boolean {
  // A worker that has shown this term's token drops what earlier leaders sent.
  if (!machine.hasShownTermToken || startMayStillArrive(state.commands, assignment)) return false;
  const { startDelivery } = assignment;
  return startDelivery.kind !== 'response' || isResponseSettled(machine, heartbeat, origin, startDelivery);
}

/**
 * Whether the worker had executed or dropped the response with the start command when it made the heartbeat. A worker
 * answers direct calls while it waits for a response, so the order of sequence numbers alone does not prove that.
 */
function isResponseSettled(
  machine: Machine,
  heartbeat: Heartbeat,
  origin: HeartbeatOrigin,
  delivery: DeliveryInResponse,
): boolean {
  // The worker sends a heartbeat by itself only once it no longer waits for the response to the one before.
  if (machine.ownSequence > delivery.sequence) return true;
  if (heartbeat.fencingToken > delivery.fencingToken) return true;
  return origin.kind === 'direct-call' && origin.calledAt >= responseExpiry(delivery);
}

/** Returns the time from which the worker certainly drops the response if it still has not received it. */
const responseExpiry = ({ sentAt }: DeliveryInResponse): MonotonicTime =>
  sentAt + withClockDrift(RESPONSE_TIMEOUT) + RESPONSE_TIMEOUT_MARGIN;

/**
 * Requests proof of the absence of a task that is to be stopped. Normally the worker's next own heartbeat is the proof.
 * A worker that reaches no controller sends none, so its machine is probed once the response has expired.
 */
export function requestAbsenceProof(state: ClusterState, machine: Machine, assignment: Assignment): void {
  const { startDelivery, stopRequest } = assignment;
  if (stopRequest === null || startDelivery.kind !== 'response') return;
  emitLog(state, 'absence not proven', {
    task: taskKey(assignment.jobId, assignment.taskIndex),
    attempt: assignment.attempt,
    machine: machine.name,
  });
  const { absenceProbesDue } = state.commands;
  absenceProbesDue.set(
    machine.name,
    laterOf(absenceProbesDue.get(machine.name) ?? 0n, responseExpiry(startDelivery)),
  );
}

/** Probes the machines for which proof of absence was requested and has not come from their own heartbeats. */
export function probeForAbsence(state: ClusterState, now: Timestamp): void {
  for (const [machineName, dueAt] of state.commands.absenceProbesDue) {
    const machine = state.machines.byName.get(machineName);
    if (machine === undefined || !awaitsAbsenceProof(machine)) {
      state.commands.absenceProbesDue.delete(machineName);
      continue;
    }
    if (now.monotonic < dueAt) continue;
    if (machine.probedAt !== null && now.monotonic - machine.probedAt < PROBE_INTERVAL) continue;
    machine.probedAt = now.monotonic;
    requestProbe(state, machine);
  }
}

const awaitsAbsenceProof = (machine: Machine): boolean =>
  [...machine.assignments.values()].some(
    ({ jobId, taskIndex, stopRequest, startDelivery }) =>
      stopRequest !== null &&
      startDelivery.kind === 'response' &&
      !machine.reportedTasks.has(taskKey(jobId, taskIndex)),
  );
