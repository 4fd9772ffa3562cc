/**
 * @file Sends start commands directly to workers once a commit allows them, without waiting for the next heartbeat.
 */
import { assignmentsOf, startNeverSent } from '../assignments/assignments.js';
import type { Assignment } from '../model/assignment.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime, Timestamp } from '../model/time.js';
import type { Transaction } from '../model/transaction.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isOverloaded } from '../state/overload.js';
import type { WorkerCommand } from '../model/worker-command.js';
import { logCommandSent } from './command-log.js';
import { isStartable } from './start-conditions.js';
import { trackStartSent } from './start-tracking.js';
import { startCommand } from './worker-commands.js';

/**
 * Sends the start commands that a commit allows. An overloaded process leaves them to the responses to the machines'
 * next heartbeats, which carry them anyway.
 */
export function sendCommittedStarts(state: ClusterState, transaction: Transaction, now: Timestamp): void {
  if (isOverloaded(state.term)) return;
  for (const [machine, assignments] of startableByMachine(state, transaction, now.monotonic))
    sendStarts(state, machine, assignments, now.monotonic);
}

function startableByMachine(
  state: ClusterState,
  transaction: Transaction,
  now: MonotonicTime,
): Map<Machine, Assignment[]> {
  const byMachine = new Map<Machine, Assignment[]>();
  for (const id of transaction.jobConditions.keys()) {
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.status !== 'open') continue;
    for (const assignment of assignmentsOf(job)) {
      const machine = state.machines.byName.get(assignment.machineName);
      if (machine === undefined || !mayStartDirectly(state, machine, assignment, now)) continue;
      const assignments = byMachine.get(machine);
      if (assignments === undefined) byMachine.set(machine, [assignment]);
      else assignments.push(assignment);
    }
  }
  return byMachine;
}

const mayStartDirectly = (
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean => startNeverSent(state, assignment) && isStartable(state, machine, assignment, now);

function sendStarts(
  state: ClusterState,
  machine: Machine,
  assignments: readonly Assignment[],
  now: MonotonicTime,
): void {
  const commands: WorkerCommand[] = [];
  for (const assignment of assignments) {
    trackStartSent(state.commands, assignment);
    assignment.startDelivery = { kind: 'direct' };
    assignment.startSentAt ??= now;
    const command = startCommand(assignment);
    commands.push(command);
    const { recordVersion } = assignment;
    logCommandSent(state, machine, command, 'direct', { recordVersion }, now);
  }
  const { name: machineName, agentEpoch } = machine;
  state.effects.push({ kind: 'send-commands', machineName, agentEpoch, commands });
}
