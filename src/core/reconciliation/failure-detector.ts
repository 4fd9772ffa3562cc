import { gracePeriod } from '../scheduling/eviction.js';
import { assignmentsOf, stopAssignment } from '../assignments/assignments.js';
import type { Machine } from '../model/machine.js';
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import { seconds, toSeconds, type Timestamp, type Duration } from '../model/time.js';
import { isOverloaded } from '../state/overload.js';
import { emitLog } from '../state/log-effects.js';
import type { ClusterState } from '../state/cluster-state.js';

/** How long a worker may be silent before it is suspected: reports come up to a quarter late, and packets get lost. */
const suspectAfter = (state: ClusterState): Duration =>
  (state.config.heartbeatInterval * 5n) / 2n + seconds(1);
/** How long after that it has to answer a direct call. */
const LAST_WORD = seconds(2.5);

const holdsReplica = (state: ClusterState, machine: Machine): boolean =>
  [...machine.assignments.values()].some(
    (assignment) => state.jobs.byId.get(assignment.jobId)?.spec.kind === 'service',
  );

const known = (state: ClusterState): Machine[] =>
  [...state.machines.byName.values()].filter(
    (machine) =>
      machine.fenced && !machine.releasing && machine.instanceState !== 'failed' && machine.agentEpoch > 0,
  );

/** So many machines silent at once that it is more likely we who are cut off: none of them is returned then. */
export function manySuspected(state: ClusterState, now: Timestamp): boolean {
  const all = known(state);
  const silent = all.filter(
    (machine) => now.monotonic - machine.lastHeartbeatAt > suspectAfter(state),
  ).length;
  return silent > Math.max(1, all.length / 5);
}

/**
 * An owner that still has the state service but hears hardly any worker keeps their leases from being renewed by
 * anybody: the other controllers send the workers back to it. It gives the part up, in time for another to answer
 * before the leases end.
 */
export function isCutOffFromWorkers(state: ClusterState, now: Timestamp): boolean {
  if (now.monotonic - state.term.startedAt < state.config.workerLease / 2n) return false;
  const all = known(state);
  const silent = all.filter(
    (machine) => now.monotonic - machine.lastHeartbeatAt > suspectAfter(state),
  ).length;
  return all.length >= 3 && silent * 4 >= all.length * 3;
}

/**
 * Machines that fell silent with replicas on them. Waiting for the lease would leave users without those replicas, so
 * the machine is asked directly and, if it has no last word, returned: that proves its tasks gone. When many fall
 * silent together it is more likely that we are cut off, and nothing is returned: their leases decide.
 */
export function findUnresponsiveMachines(state: ClusterState, now: Timestamp): string[] {
  // In a process that is behind, what is missing may well be here and not yet looked at.
  if (isOverloaded(state.term)) return [];
  const after = suspectAfter(state);
  const out = neverHeard(state, now);
  if (
    now.monotonic - state.term.startedAt < after + state.config.heartbeatInterval * 2n ||
    manySuspected(state, now)
  )
    return out;
  const silent = known(state).filter(
    (machine) =>
      machine.agentEpoch > machine.lastExpiredEpoch && now.monotonic - machine.lastHeartbeatAt > after,
  );
  for (const machine of silent) {
    if (!holdsReplica(state, machine)) continue;
    if (now.monotonic - machine.lastHeartbeatAt > after + LAST_WORD) out.push(machine.name);
    else
      state.effects.push({
        kind: 'send-commands',
        machineName: machine.name,
        agentEpoch: machine.agentEpoch,
        commands: [],
      });
  }
  return out;
}

/**
 * Machines with recorded replicas that this owner never heard, while it heard nearly all others with work. An earlier
 * owner may have answered them until shortly before it ended and long after, so their leases prove nothing for most of
 * a minute; a machine that is cut off around a takeover would leave its users without replicas for all that time.
 */
function neverHeard(state: ClusterState, now: Timestamp): string[] {
  if (now.monotonic - state.term.startedAt < suspectAfter(state) + state.config.heartbeatInterval * 2n)
    return [];
  let working = 0;
  const never: Machine[] = [];
  for (const machine of state.machines.byName.values()) {
    if (machine.assignments.size === 0) continue;
    working += 1;
    if (machine.lastHeartbeatAt === 0n && !machine.releasing) never.push(machine);
  }
  if (never.length > Math.max(1, working / 5)) return [];
  return never.filter((machine) => holdsReplica(state, machine)).map((machine) => machine.name);
}

const PROBE = seconds(3);

/** A machine that nothing reaches is asked directly now and then: an answer shows that it can be reached again. */
export function probeUnreachableMachines(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (
      machine.unreachableSince === null ||
      machine.releasing ||
      machine.endpoint === '' ||
      machine.agentEpoch === 0
    )
      continue;
    if (machine.probedAt !== null && now.monotonic - machine.probedAt < PROBE) continue;
    machine.probedAt = now.monotonic;
    state.effects.push({
      kind: 'send-commands',
      machineName: machine.name,
      agentEpoch: machine.agentEpoch,
      commands: [],
    });
  }
}

/** Tasks on a machine that is about to be taken: what will not be done by then saves in time and goes elsewhere. */
export function handlePreemptionNotices(state: ClusterState, now: Timestamp): void {
  for (const machine of state.machines.byName.values()) {
    if (machine.preemptionAt === null || !machine.fenced) continue;
    const left = toSeconds(machine.preemptionAt - now.monotonic);
    for (const assignment of [...machine.assignments.values()]) {
      const job = state.jobs.byId.get(assignment.jobId);
      if (job === undefined || assignment.stopRequest !== null) continue;
      const ran = assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince);
      const ends =
        assignment.runningSince !== null &&
        job.spec.kind !== 'service' &&
        estimatedSeconds(state, job) - ran < left - 2;
      const grace = gracePeriod(job);
      // A notice may be half its nominal length: what has to save is stopped while there surely is time.
      if (ends && left > grace + 2) continue;
      emitLog(
        state,
        'stopped ahead of a spot notice',
        { task: `${assignment.jobId}/${assignment.taskIndex}`, machine: machine.name, left },
        'info',
      );
      if (job.spec.kind === 'gang')
        for (const other of assignmentsOf(job)) stopAssignment(state, other, grace, 'notice', now.monotonic);
      else stopAssignment(state, assignment, grace, 'notice', now.monotonic);
    }
  }
}
