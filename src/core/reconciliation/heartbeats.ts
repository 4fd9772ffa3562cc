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
const isNewer = (machine: Machine, report: Heartbeat): boolean =>
  report.agentEpoch > machine.agentEpoch ||
  (report.agentEpoch === machine.agentEpoch && report.sequence > machine.sequence);

/** A machine found its way to us by itself: it is not in need of being asked. */
export function onFirstHeartbeat(state: ClusterState, name: string, now: Timestamp): void {
  const machine = state.machines.byName.get(name);
  if (machine === undefined || machine.firstHeartbeatAt !== null) return;
  machine.firstHeartbeatAt = now.monotonic;
  state.term.lastWorkerJoinedAt = now.monotonic;
}

/** Takes in a report, whichever way it came. Exits count even in old ones; absence counts only in new ones. */
export function onHeartbeat(state: ClusterState, report: Heartbeat, now: Timestamp): void {
  if (report.fencingToken > state.term.fencingToken) {
    state.effects.push({ kind: 'superseded', fencingToken: report.fencingToken });
    return;
  }
  if (state.machines.terminated.has(report.machineName)) {
    emitLog(state, 'a copy from a machine that is gone', {
      machine: report.machineName,
      seq: report.sequence,
    });
    return;
  }
  const machine = getOrAddMachine(state, report.machineName, now.monotonic);
  for (const task of report.tasks) if (task.state === 'exited') onExit(state, machine, report, task, now);
  if (!isNewer(machine, report)) {
    emitLog(state, 'late report', {
      machine: report.machineName,
      session: report.agentEpoch,
      seq: report.sequence,
    });
    return;
  }
  const wasUsable = isUsable(state, machine, now.monotonic);
  machine.endpoint = report.endpoint;
  if (machine.type !== report.type) machine.resources = null;
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  state.machines.booting.delete(machine.name);
  if (report.agentEpoch > machine.agentEpoch) newSession(state, machine, report.agentEpoch, now.monotonic);
  machine.sequence = report.sequence;
  machine.fencingToken = report.fencingToken;
  machine.lastHeartbeatAt = now.monotonic;
  machine.preemptionAt = report.preemptionNotice === null ? null : now.monotonic + report.preemptionNotice;
  if (report.fencingToken >= state.term.firstFencingToken) machine.fenced = true;
  const loose = state.commands.unresolvedStarts.get(machine.name);
  // A copy carrying a lower token than the worker has seen is refused there.
  if (loose !== undefined) for (const [k, token] of loose) if (report.fencingToken > token) loose.delete(k);
  const listed = new Set<string>();
  machine.reportedTasks.clear();
  for (const task of report.tasks) {
    listed.add(attemptKey(task.jobId, task.taskIndex, task.attempt));
    if (task.state !== 'exited') machine.reportedTasks.set(taskKey(task.jobId, task.taskIndex), task);
  }
  for (const intent of [...machine.assignments.values()])
    onListed(state, machine, report, intent, listed, now);
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

function newSession(state: ClusterState, machine: Machine, session: number, now: MonotonicTime): void {
  // Its lease was over although we answered within it: nothing of what we send reaches it.
  // (The last answers before a machine hangs are lost too: those alone say nothing.)
  const sure = leaseExpiry(state, machine) - state.config.heartbeatInterval * 4n;
  if (machine.agentEpoch > 0 && machine.lastExpiredEpoch < machine.agentEpoch && machine.fenced && now < sure)
    markDeaf(state, machine, now);
  machine.agentEpoch = session;
  machine.sequence = 0;
  machine.answeredSequences = [];
  machine.unacknowledgedStarts = 0;
  // The lease of a session runs from its beginning, also where no report of it was answered yet. Counting from an
  // older answer would call it over while the worker holds it, and a `run` under way would start what was given up.
  machine.lastAcknowledgedAt = laterOf(machine.lastAcknowledgedAt, now);
  machine.lastExpiredEpoch = Math.max(machine.lastExpiredEpoch, session - 1);
  // The worker killed and forgot everything with its old session, and refuses commands for it.
  state.commands.unresolvedStarts.delete(machine.name);
  state.commands.pendingForgets.delete(machine.name);
  for (const intent of [...machine.assignments.values()])
    if (intent.agentEpoch < session) endAssignment(state, intent, false, 'newer session', now);
  state.scheduling.cycleNeeded = true;
}

function onListed(
  state: ClusterState,
  machine: Machine,
  report: Heartbeat,
  intent: Assignment,
  listed: ReadonlySet<string>,
  now: Timestamp,
): void {
  if (intent.agentEpoch !== report.agentEpoch) return;
  const job = state.jobs.byId.get(intent.jobId);
  const seen = machine.reportedTasks.get(taskKey(intent.jobId, intent.taskIndex));
  if (seen !== undefined && seen.attempt === intent.attempt) {
    if (seen.state !== 'exited') intent.phase = seen.state;
    machine.unacknowledgedStarts = 0;
    if (seen.state === 'running' && intent.runningSince === null) intent.runningSince = now.monotonic;
    if (intent.startSentInSequence === null) intent.startSentInSequence = 0;
    if (seen.state !== 'fetching' && job !== undefined)
      recordImageUse(state, machine, job.spec, now.monotonic);
    return;
  }
  if (listed.has(attemptKey(intent.jobId, intent.taskIndex, intent.attempt))) return;
  // Absent. That proves something only if the worker has our token and no copy of the `run` can still come.
  if (!machine.fenced || startMayStillArrive(state.commands, intent)) return;
  const answeredBefore = intent.startSentInSequence === null || report.sequence > intent.startSentInSequence;
  if (!answeredBefore) return;
  // One report that shows nothing of several `run`s counts once.
  if (
    intent.phase === 'placed' &&
    intent.startSentInSequence !== null &&
    intent.startSentInSequence > 0 &&
    machine.unacknowledgedSequence !== report.sequence
  ) {
    machine.unacknowledgedStarts += 1;
    machine.unacknowledgedSequence = report.sequence;
  }
  if (intent.phase !== 'placed') endAssignment(state, intent, false, 'gone from the report', now.monotonic);
  else if (intent.stopRequest !== null)
    endAssignment(state, intent, false, `not there: ${intent.stopRequest.reason}`, now.monotonic);
}

function onExit(
  state: ClusterState,
  machine: Machine,
  report: Heartbeat,
  task: ReportedTask,
  now: Timestamp,
): void {
  const intent = machine.assignments.get(taskKey(task.jobId, task.taskIndex));
  if (intent !== undefined && intent.attempt === task.attempt && intent.agentEpoch === report.agentEpoch) {
    const job = state.jobs.byId.get(task.jobId);
    const completed = task.exitReason === 'done';
    if (job !== undefined && !completed) onFailure(state, job, machine, task, now);
    if (intent.runningSince !== null && completed && job !== undefined)
      learnPace(state, job, now.monotonic - intent.runningSince);
    endAssignment(state, intent, completed, task.exitReason ?? 'exited', now.monotonic);
    if (job !== undefined && job.spec.kind === 'gang') onGangExit(state, job, task, completed, now);
  }
  if (report.agentEpoch === machine.agentEpoch || machine.agentEpoch === 0)
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
    for (const intent of [...chunk.assignments.values()])
      if (intent.attempt === task.attempt && intent.stopRequest === null)
        stopAssignment(state, intent, 0, `gang lost a task: ${task.exitReason}`, now.monotonic);
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
