/** @file The orders that workers get: in the answers to their reports, and by direct calls. */
import type { ClusterState } from '../state/cluster-state.js';
import type { PendingForget, WorkerCommand } from '../model/worker-command.js';
import { emitLog } from '../state/log-effects.js';
import { getOrCreateMap } from '../state/maps.js';
import { isOverloaded } from '../state/overload.js';
import { startMayStillArrive } from '../state/command-state.js';
import { attemptKey } from '../model/assignment.js';
import { isAssignmentCommitted } from '../records/chunks.js';
import { type Assignment, taskKey } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Heartbeat } from '../model/heartbeat.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { markReachable } from '../reconciliation/heartbeats.js';
import { type Timestamp, type MonotonicTime, seconds, toSeconds } from '../model/time.js';

/** What became of a direct command. Unknown: a copy may still arrive and be carried out. */
export function onCommandsAnswered(
  state: ClusterState,
  machineName: string,
  agentEpoch: number,
  fencingToken: number,
  commands: readonly WorkerCommand[],
  outcome: 'executed' | 'refused' | 'unknown',
  /** The worker itself answered. */
  reached: boolean,
): void {
  const machine = state.machines.byName.get(machineName);
  if (outcome !== 'unknown' && reached && machine !== undefined) markReachable(state, machine);
  for (const command of commands) {
    if (command.op !== 'start') continue;
    const key = attemptKey(command.jobId, command.taskIndex, command.attempt);
    const flying = getOrCreateMap(state.commands.startsInFlight, machineName);
    const left = (flying.get(key) ?? 1) - 1;
    if (left > 0) flying.set(key, left);
    else flying.delete(key);
    if (
      outcome === 'unknown' &&
      machine !== undefined &&
      machine.agentEpoch === agentEpoch &&
      machine.fencingToken <= fencingToken
    )
      getOrCreateMap(state.commands.unresolvedStarts, machineName).set(key, fencingToken);
  }
}

/** Reports remembered as asked: copies come late, but seldom after so many others. */
const ASKED = 64;

/**
 * The orders that go into the answer to a machine's report. A late report gets none: its worker has gone on, and what
 * it would be told fits an older list. Its answer may still renew the lease, since a report can be overtaken by the
 * answer to a command; only the same report once more is surely a copy, whose answer reaches nobody.
 */
export function commandsFor(
  state: ClusterState,
  name: string,
  now: Timestamp,
  heartbeat: Heartbeat | null = null,
): WorkerCommand[] {
  const machine = state.machines.byName.get(name);
  if (machine === undefined) return [];
  if (heartbeat !== null && heartbeat.agentEpoch === machine.agentEpoch) {
    if (machine.answeredSequences.includes(heartbeat.sequence)) return [];
    // A worker has one report under way at a time: what is older than all of these is no original either.
    if (
      machine.answeredSequences.length === ASKED &&
      heartbeat.sequence < (machine.answeredSequences[0] ?? 0)
    )
      return [];
    machine.answeredSequences.push(heartbeat.sequence);
    if (machine.answeredSequences.length > ASKED) machine.answeredSequences.shift();
  }
  machine.lastAcknowledgedAt = now.monotonic;
  if (
    heartbeat !== null &&
    (heartbeat.agentEpoch !== machine.agentEpoch || heartbeat.sequence !== machine.sequence)
  )
    return [];
  const commands: WorkerCommand[] = [];
  for (const assignment of machine.assignments.values()) {
    const seen = machine.reportedTasks.get(taskKey(assignment.jobId, assignment.taskIndex));
    const there = seen !== undefined && seen.attempt === assignment.attempt;
    if (assignment.stopRequest !== null) {
      if (there)
        commands.push({
          op: 'stop',
          jobId: assignment.jobId,
          taskIndex: assignment.taskIndex,
          attempt: assignment.attempt,
          gracePeriodS: graceNow(state, assignment, now.monotonic),
        });
    } else if (!there && isStartable(state, machine, assignment, now.monotonic)) {
      assignment.startSentInSequence = machine.sequence;
      assignment.startSentAt ??= now.monotonic;
      commands.push({
        op: 'start',
        jobId: assignment.jobId,
        taskIndex: assignment.taskIndex,
        attempt: assignment.attempt,
      });
    }
  }
  commands.push(...stopsForStrays(state, machine));
  for (const forget of state.commands.pendingForgets.get(name)?.values() ?? [])
    if (mayForget(state, name, forget))
      commands.push({
        op: 'forget',
        jobId: forget.jobId,
        taskIndex: forget.taskIndex,
        attempt: forget.attempt,
      });
  return commands;
}

/** A task that was told to save but does not end is ended, once it had twice its time. */
function graceNow(state: ClusterState, assignment: Assignment, now: MonotonicTime): number {
  const grace = assignment.stopRequest?.gracePeriodS ?? 0;
  if (assignment.stopRequest === null || grace === 0) return 0;
  const allowed = seconds(grace * 2) + state.config.gangPeerTimeout + state.config.heartbeatInterval * 2n;
  return now - assignment.stopRequest.requestedAt > allowed ? 0 : grace;
}

/** Tasks on the machine that no intent covers: they were given up with proof once, so whatever this is, it ends. */
function stopsForStrays(state: ClusterState, machine: Machine): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  if (!machine.fenced) return out;
  for (const [key, task] of machine.reportedTasks) {
    const assignment = machine.assignments.get(key);
    if (assignment !== undefined && assignment.attempt === task.attempt) continue;
    emitLog(
      state,
      'stopping a task that no place is recorded for',
      { machine: machine.name, task: key, attempt: task.attempt },
      'info',
    );
    out.push({
      op: 'stop',
      jobId: task.jobId,
      taskIndex: task.taskIndex,
      attempt: task.attempt,
      gracePeriodS: 0,
    });
  }
  return out;
}

function mayForget(state: ClusterState, machine: string, forget: PendingForget): boolean {
  const key = attemptKey(forget.jobId, forget.taskIndex, forget.attempt);
  // After a `forget` the attempt is unknown to the worker: a copy of its `run` would start it again.
  if (
    state.commands.unresolvedStarts.get(machine)?.has(key) === true ||
    (state.commands.startsInFlight.get(machine)?.get(key) ?? 0) > 0
  )
    return false;
  if (state.machines.byName.get(machine)?.fenced !== true) return false;
  const job = state.jobs.byId.get(forget.jobId);
  // A job that is over needs no more results.
  if (job === undefined || forget.chunkIndex === null || job.status !== 'open') return true;
  return (job.chunks.get(forget.chunkIndex)?.committedVersion ?? 0) >= forget.recordVersion;
}

/** Drops forgets that the newest report shows as carried out. */
export function dropCompletedForgets(state: ClusterState, heartbeat: Heartbeat): void {
  const map = state.commands.pendingForgets.get(heartbeat.machineName);
  if (map === undefined) return;
  const exited = new Set(
    heartbeat.tasks
      .filter((task) => task.state === 'exited')
      .map((task) => attemptKey(task.jobId, task.taskIndex, task.attempt)),
  );
  for (const [k, forget] of map)
    if (!exited.has(attemptKey(forget.jobId, forget.taskIndex, forget.attempt))) map.delete(k);
}

/** Whether the task may be started now: its place is committed, its job open, our word from the state service recent. */
export function isStartable(
  state: ClusterState,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || job.status !== 'open' || assignment.stopRequest !== null) return false;
  if (state.jobs.dependencies.isWaiting(assignment.jobId)) return false;
  if (assignment.agentEpoch !== machine.agentEpoch || !machine.fenced || assignment.phase !== 'assigned')
    return false;
  if (!isAssignmentCommitted(job, assignment) || !mayStartTasks(state.term.confirmedAt, now)) return false;
  // A gang starts as one: no member before all are committed.
  if (job.spec.kind === 'gang')
    for (const chunk of job.chunks.values())
      for (const other of chunk.assignments.values()) if (!isAssignmentCommitted(job, other)) return false;
  return job.spec.kind !== 'gang' || inStep(state, job, machine, assignment, now);
}

/** Share of the time that a gang's tasks wait for one another which is planned with; fetches take a third more or less. */
const STEP = 0.4;

/**
 * Whether a gang's task should go off now: one whose image is there would wait for those that still fetch, give up
 * after a while and take the whole attempt with it. The slowest go first; what is late for any reason holds nobody up
 * for longer than its fetch should take.
 */
function inStep(
  state: ClusterState,
  job: Job,
  machine: Machine,
  assignment: Assignment,
  now: MonotonicTime,
): boolean {
  const fetch = (at: Machine | undefined): number => {
    if (at === undefined || at.cachedImages.has(job.spec.image)) return 0;
    const rate = state.machines.types.get(at.type)?.fetchGbPerS ?? 0;
    return rate > 0 ? job.spec.imageGb / rate : 0;
  };
  const own = fetch(machine);
  let last = 0;
  for (const chunk of job.chunks.values())
    for (const other of chunk.assignments.values()) {
      if (other === assignment || (other.phase !== 'assigned' && other.phase !== 'fetching')) continue;
      const passed = other.startSentAt === null ? 0 : toSeconds(now - other.startSentAt);
      last = Math.max(last, fetch(state.machines.byName.get(other.machineName)) - passed);
    }
  return own >= last - toSeconds(state.config.gangStartTimeout) * STEP;
}

/**
 * Sends the `run`s that a commit made allowed, straight to the machines. While the process is behind they are left to
 * the answers to the machines' next reports, which carry them anyway.
 */
export function sendStarts(state: ClusterState, assignments: Iterable<Assignment>, now: Timestamp): void {
  if (isOverloaded(state.term)) return;
  const byMachine = new Map<string, Assignment[]>();
  for (const assignment of assignments) {
    const machine = state.machines.byName.get(assignment.machineName);
    if (
      machine === undefined ||
      assignment.startSentInSequence !== null ||
      startMayStillArrive(state.commands, assignment) ||
      !isStartable(state, machine, assignment, now.monotonic)
    )
      continue;
    const list = byMachine.get(assignment.machineName) ?? [];
    list.push(assignment);
    byMachine.set(assignment.machineName, list);
  }
  for (const [name, list] of byMachine) {
    const machine = state.machines.byName.get(name);
    if (machine === undefined) continue;
    const flying = getOrCreateMap(state.commands.startsInFlight, name);
    for (const assignment of list) {
      const key = attemptKey(assignment.jobId, assignment.taskIndex, assignment.attempt);
      flying.set(key, (flying.get(key) ?? 0) + 1);
      assignment.startSentInSequence = 0;
      assignment.startSentAt ??= now.monotonic;
    }
    state.effects.push({
      kind: 'send-commands',
      machineName: name,
      agentEpoch: machine.agentEpoch,
      commands: list.map((assignment) => ({
        op: 'start',
        jobId: assignment.jobId,
        taskIndex: assignment.taskIndex,
        attempt: assignment.attempt,
      })),
    });
  }
}
