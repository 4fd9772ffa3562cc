/** @file What a worker's report proves about the tasks and the machine that it tells of. */
import { isUsable } from '../machines/free-resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { isOverloaded } from '../state/overload.js';
import { startMayStillArrive } from '../state/command-state.js';
import { attemptKey } from '../model/assignment.js';
import { recordImageUse } from '../machines/image-cache.js';
import { endAssignment, stopAssignment, requestForget } from '../assignments/assignments.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import { leaseExpiry } from './worker-leases.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Heartbeat, ReportedTask } from '../model/heartbeat.js';
import { type Timestamp, type MonotonicTime, laterOf, seconds, toSeconds } from '../model/time.js';

/** A report is newer than what is known if its (session, sequence) is larger; late ones say nothing about now. */
const isNewer = (machine: Machine, heartbeat: Heartbeat): boolean =>
  heartbeat.agentEpoch > machine.agentEpoch ||
  (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence > machine.sequence);

/** A machine found its way to us by itself: it is not in need of being asked. */
export function onFirstHeartbeat(state: ClusterState, name: string, now: Timestamp): void {
  const machine = state.machines.byName.get(name);
  if (machine === undefined || machine.firstHeartbeatAt !== null) return;
  machine.firstHeartbeatAt = now.monotonic;
  state.term.lastWorkerJoinedAt = now.monotonic;
}

/** Takes in a report, whichever way it came. Exits count even in old ones; absence counts only in new ones. */
export function onHeartbeat(state: ClusterState, heartbeat: Heartbeat, now: Timestamp): void {
  if (heartbeat.fencingToken > state.term.fencingToken) {
    state.effects.push({ kind: 'superseded', fencingToken: heartbeat.fencingToken });
    return;
  }
  if (state.machines.terminated.has(heartbeat.machineName)) {
    emitLog(state, 'a copy from a machine that is gone', {
      machine: heartbeat.machineName,
      seq: heartbeat.sequence,
    });
    return;
  }
  const machine = getOrAddMachine(state, heartbeat.machineName, now.monotonic);
  for (const task of heartbeat.tasks)
    if (task.state === 'exited') onExit(state, machine, heartbeat, task, now);
  if (!isNewer(machine, heartbeat)) {
    emitLog(state, 'late report', {
      machine: heartbeat.machineName,
      session: heartbeat.agentEpoch,
      seq: heartbeat.sequence,
    });
    return;
  }
  const wasUsable = isUsable(state, machine, now.monotonic);
  machine.endpoint = heartbeat.endpoint;
  if (machine.type !== heartbeat.type) machine.resources = null;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  state.machines.booting.delete(machine.name);
  if (heartbeat.agentEpoch > machine.agentEpoch)
    newSession(state, machine, heartbeat.agentEpoch, now.monotonic);
  machine.sequence = heartbeat.sequence;
  machine.fencingToken = heartbeat.fencingToken;
  machine.lastHeartbeatAt = now.monotonic;
  machine.preemptionAt =
    heartbeat.preemptionNotice === null ? null : now.monotonic + heartbeat.preemptionNotice;
  if (heartbeat.fencingToken >= state.term.firstFencingToken) machine.fenced = true;
  const loose = state.commands.unresolvedStarts.get(machine.name);
  // A copy carrying a lower token than the worker has seen is refused there.
  if (loose !== undefined)
    for (const [k, fencingToken] of loose) if (heartbeat.fencingToken > fencingToken) loose.delete(k);
  const listed = new Set<string>();
  machine.reportedTasks.clear();
  for (const task of heartbeat.tasks) {
    listed.add(attemptKey(task.jobId, task.taskIndex, task.attempt));
    if (task.state !== 'exited') machine.reportedTasks.set(taskKey(task.jobId, task.taskIndex), task);
  }
  for (const assignment of [...machine.assignments.values()])
    onListed(state, machine, heartbeat, assignment, listed, now);
  if (machine.unacknowledgedStarts >= UNHEEDED) markDeaf(state, machine, now.monotonic);
  const strayed = machine.hasOrphanedTasks;
  machine.hasOrphanedTasks = false;
  for (const [key, task] of machine.reportedTasks)
    if (machine.assignments.get(key)?.attempt !== task.attempt) machine.hasOrphanedTasks = true;
  if (strayed || machine.hasOrphanedTasks) machine.resources = null;
  if (strayed && !machine.hasOrphanedTasks) state.scheduling.cycleNeeded = true;
  if (isUsable(state, machine, now.monotonic) !== wasUsable) state.scheduling.cycleNeeded = true;
}

/** So many `run`s that leave no trace in the reports after them are more than lost packets. */
const UNHEEDED = 3;

/** Nothing new goes to a machine that nothing reaches. What it holds is counted until its reports prove it gone. */
function markDeaf(state: ClusterState, machine: Machine, now: MonotonicTime): void {
  if (machine.unreachableSince !== null) return;
  // In a process that is behind, answers come after the worker has given up: that says nothing of the machine.
  if (isOverloaded(state.term)) return;
  machine.unreachableSince = now;
  emitLog(state, 'a machine reports, but what we send does not reach it', { machine: machine.name }, 'info');
}

/** Only what shows that a command was received takes that away: a report alone does not. */
export function markReachable(state: ClusterState, machine: Machine): void {
  machine.unacknowledgedStarts = 0;
  if (machine.unreachableSince === null) return;
  machine.unreachableSince = null;
  state.scheduling.cycleNeeded = true;
}

function newSession(state: ClusterState, machine: Machine, agentEpoch: number, now: MonotonicTime): void {
  // Its lease was over although we answered within it: nothing of what we send reaches it.
  // (The last answers before a machine hangs are lost too: those alone say nothing.)
  const sure = leaseExpiry(state, machine) - state.config.heartbeatInterval * 4n;
  if (machine.agentEpoch > 0 && machine.lastExpiredEpoch < machine.agentEpoch && machine.fenced && now < sure)
    markDeaf(state, machine, now);
  machine.agentEpoch = agentEpoch;
  machine.sequence = 0;
  machine.answeredSequences = [];
  machine.unacknowledgedStarts = 0;
  // The lease of a session runs from its beginning, also where no report of it was answered yet. Counting from an
  // older answer would call it over while the worker holds it, and a `run` under way would start what was given up.
  machine.lastAcknowledgedAt = laterOf(machine.lastAcknowledgedAt, now);
  machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, agentEpoch - 1);
  // The worker killed and forgot everything with its old session, and refuses commands for it.
  state.commands.unresolvedStarts.delete(machine.name);
  state.commands.pendingForgets.delete(machine.name);
  for (const assignment of [...machine.assignments.values()])
    if (assignment.agentEpoch < agentEpoch) endAssignment(state, assignment, false, 'newer session', now);
  state.scheduling.cycleNeeded = true;
}

function onListed(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  assignment: Assignment,
  listed: ReadonlySet<string>,
  now: Timestamp,
): void {
  if (assignment.agentEpoch !== heartbeat.agentEpoch) return;
  const job = state.jobs.byId.get(assignment.jobId);
  const seen = machine.reportedTasks.get(taskKey(assignment.jobId, assignment.taskIndex));
  if (seen !== undefined && seen.attempt === assignment.attempt) {
    if (seen.state !== 'exited') assignment.phase = seen.state;
    machine.unacknowledgedStarts = 0;
    if (seen.state === 'running' && assignment.runningSince === null) assignment.runningSince = now.monotonic;
    if (assignment.startSentInSequence === null) assignment.startSentInSequence = 0;
    if (seen.state !== 'fetching' && job !== undefined)
      recordImageUse(state, machine, job.spec, now.monotonic);
    return;
  }
  if (listed.has(attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt))) return;
  // Absent. That proves something only if the worker has our token and no copy of the `run` can still come.
  if (!machine.fenced || startMayStillArrive(state.commands, assignment)) return;
  const answeredBefore =
    assignment.startSentInSequence === null || heartbeat.sequence > assignment.startSentInSequence;
  if (!answeredBefore) return;
  // One report that shows nothing of several `run`s counts once.
  if (
    assignment.phase === 'assigned' &&
    assignment.startSentInSequence !== null &&
    assignment.startSentInSequence > 0 &&
    machine.unacknowledgedSequence !== heartbeat.sequence
  ) {
    machine.unacknowledgedStarts += 1;
    machine.unacknowledgedSequence = heartbeat.sequence;
  }
  if (assignment.phase !== 'assigned')
    endAssignment(state, assignment, false, 'gone from the report', now.monotonic);
  else if (assignment.stopRequest !== null)
    endAssignment(state, assignment, false, `not there: ${assignment.stopRequest.reason}`, now.monotonic);
}

function onExit(
  state: ClusterState,
  machine: Machine,
  heartbeat: Heartbeat,
  task: ReportedTask,
  now: Timestamp,
): void {
  const assignment = machine.assignments.get(taskKey(task.jobId, task.taskIndex));
  if (
    assignment !== undefined &&
    assignment.attempt === task.attempt &&
    assignment.agentEpoch === heartbeat.agentEpoch
  ) {
    const job = state.jobs.byId.get(task.jobId);
    const completed = task.exitReason === 'done';
    if (job !== undefined && !completed) onFailure(state, job, machine, task, now);
    if (assignment.runningSince !== null && completed && job !== undefined)
      learnPace(state, job, now.monotonic - assignment.runningSince);
    endAssignment(state, assignment, completed, task.exitReason ?? 'exited', now.monotonic);
    if (job !== undefined && job.spec.kind === 'gang') onGangExit(state, job, task, completed, now);
  }
  if (heartbeat.agentEpoch === machine.agentEpoch || machine.agentEpoch === 0)
    requestForget(state, machine.name, task.jobId, task.taskIndex, task.attempt, now.monotonic);
}

/** A gang's tasks end together: after the first exit the rest of that attempt has no more to do. */
function onGangExit(
  state: ClusterState,
  job: Job,
  task: ReportedTask,
  completed: boolean,
  now: Timestamp,
): void {
  if (completed) return;
  for (const chunk of job.chunks.values())
    for (const assignment of [...chunk.assignments.values()])
      if (assignment.attempt === task.attempt && assignment.stopRequest === null)
        stopAssignment(state, assignment, 0, `gang lost a task: ${task.exitReason}`, now.monotonic);
}

function onFailure(
  state: ClusterState,
  job: Job,
  machine: Machine,
  task: ReportedTask,
  now: Timestamp,
): void {
  if (task.exitReason === 'error') {
    job.failureCount += 1;
    job.failuresByMachine.set(machine.name, (job.failuresByMachine.get(machine.name) ?? 0) + 1);
    // A job failing everywhere is its own fault: pauses grow, and no machine is blamed for it alone.
    job.retryNotBefore =
      now.monotonic +
      seconds(job.failuresByMachine.size > 2 ? Math.min(2 ** Math.min(job.failureCount, 6), 60) : 0.2);
    machine.failuresByJob.set(job.spec.id, now.monotonic);
    const blame = [...machine.failuresByJob.keys()].filter(
      (id) => (state.jobs.byId.get(id)?.failuresByMachine.size ?? 0) <= 2,
    );
    if (!machine.quarantined && blame.length >= state.settings.quarantineThreshold) {
      machine.quarantined = true;
      machine.quarantinedSince = now.monotonic;
      emitLog(
        state,
        'machine set aside: different jobs fail on it',
        { machine: machine.name, jobs: blame },
        'info',
      );
    }
  } else if (task.exitReason === 'full' || task.exitReason === 'busy' || task.exitReason === 'no_such') {
    job.retryNotBefore = now.monotonic + seconds(0.5);
    emitLog(
      state,
      'start refused',
      { machine: machine.name, job: job.spec.id, why: task.exitReason },
      'info',
    );
  }
}

function learnPace(state: ClusterState, job: Job, took: MonotonicTime): void {
  const expected = toSeconds(job.spec.estimatedDuration);
  if (expected <= 0) return;
  const ratio = Math.min(4, Math.max(0.25, toSeconds(took) / expected));
  state.jobs.durationFactors.set(
    job.spec.class,
    (state.jobs.durationFactors.get(job.spec.class) ?? 1) * 0.9 + ratio * 0.1,
  );
}
