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
  machine: string,
  session: number,
  token: number,
  orders: readonly WorkerCommand[],
  outcome: 'executed' | 'refused' | 'unknown',
  /** The worker itself answered. */
  reached: boolean,
): void {
  const m = state.machines.byName.get(machine);
  if (outcome !== 'unknown' && reached && m !== undefined) markReachable(state, m);
  for (const order of orders) {
    if (order.op !== 'start') continue;
    const key = attemptKey(order.jobId, order.taskIndex, order.attempt);
    const flying = getOrCreateMap(state.commands.startsInFlight, machine);
    const left = (flying.get(key) ?? 1) - 1;
    if (left > 0) flying.set(key, left);
    else flying.delete(key);
    if (outcome === 'unknown' && m !== undefined && m.agentEpoch === session && m.fencingToken <= token)
      getOrCreateMap(state.commands.unresolvedStarts, machine).set(key, token);
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
  report: Heartbeat | null = null,
): WorkerCommand[] {
  const machine = state.machines.byName.get(name);
  if (machine === undefined) return [];
  if (report !== null && report.agentEpoch === machine.agentEpoch) {
    if (machine.answeredSequences.includes(report.sequence)) return [];
    // A worker has one report under way at a time: what is older than all of these is no original either.
    if (machine.answeredSequences.length === ASKED && report.sequence < (machine.answeredSequences[0] ?? 0))
      return [];
    machine.answeredSequences.push(report.sequence);
    if (machine.answeredSequences.length > ASKED) machine.answeredSequences.shift();
  }
  machine.lastAcknowledgedAt = now.monotonic;
  if (report !== null && (report.agentEpoch !== machine.agentEpoch || report.sequence !== machine.sequence))
    return [];
  const orders: WorkerCommand[] = [];
  for (const intent of machine.assignments.values()) {
    const seen = machine.reportedTasks.get(taskKey(intent.jobId, intent.taskIndex));
    const there = seen !== undefined && seen.attempt === intent.attempt;
    if (intent.stopRequest !== null) {
      if (there)
        orders.push({
          op: 'stop',
          jobId: intent.jobId,
          taskIndex: intent.taskIndex,
          attempt: intent.attempt,
          gracePeriodS: graceNow(state, intent, now.monotonic),
        });
    } else if (!there && isStartable(state, machine, intent, now.monotonic)) {
      intent.startSentInSequence = machine.sequence;
      intent.startSentAt ??= now.monotonic;
      orders.push({ op: 'start', jobId: intent.jobId, taskIndex: intent.taskIndex, attempt: intent.attempt });
    }
  }
  orders.push(...stopsForStrays(state, machine));
  for (const forget of state.commands.pendingForgets.get(name)?.values() ?? [])
    if (mayForget(state, name, forget))
      orders.push({
        op: 'forget',
        jobId: forget.jobId,
        taskIndex: forget.taskIndex,
        attempt: forget.attempt,
      });
  return orders;
}

/** A task that was told to save but does not end is ended, once it had twice its time. */
function graceNow(state: ClusterState, intent: Assignment, now: MonotonicTime): number {
  const grace = intent.stopRequest?.grace ?? 0;
  if (intent.stopRequest === null || grace === 0) return 0;
  const allowed = seconds(grace * 2) + state.config.gangPeerTimeout + state.config.heartbeatInterval * 2n;
  return now - intent.stopRequest.requestedAt > allowed ? 0 : grace;
}

/** Tasks on the machine that no intent covers: they were given up with proof once, so whatever this is, it ends. */
function stopsForStrays(state: ClusterState, machine: Machine): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  if (!machine.fenced) return out;
  for (const [key, task] of machine.reportedTasks) {
    const intent = machine.assignments.get(key);
    if (intent !== undefined && intent.attempt === task.attempt) continue;
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
export function dropCompletedForgets(state: ClusterState, report: Heartbeat): void {
  const map = state.commands.pendingForgets.get(report.machineName);
  if (map === undefined) return;
  const exited = new Set(
    report.tasks
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
  intent: Assignment,
  now: MonotonicTime,
): boolean {
  const job = state.jobs.byId.get(intent.jobId);
  if (job === undefined || job.status !== 'open' || intent.stopRequest !== null) return false;
  if (state.jobs.dependencies.isWaiting(intent.jobId)) return false;
  if (intent.agentEpoch !== machine.agentEpoch || !machine.fenced || intent.phase !== 'placed') return false;
  if (!isAssignmentCommitted(job, intent) || !mayStartTasks(state.term.confirmedAt, now)) return false;
  // A gang starts as one: no member before all are committed.
  if (job.spec.kind === 'gang')
    for (const chunk of job.chunks.values())
      for (const other of chunk.assignments.values()) if (!isAssignmentCommitted(job, other)) return false;
  return job.spec.kind !== 'gang' || inStep(state, job, machine, intent, now);
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
  intent: Assignment,
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
      if (other === intent || (other.phase !== 'placed' && other.phase !== 'fetching')) continue;
      const passed = other.startSentAt === null ? 0 : toSeconds(now - other.startSentAt);
      last = Math.max(last, fetch(state.machines.byName.get(other.machineName)) - passed);
    }
  return own >= last - toSeconds(state.config.gangStartTimeout) * STEP;
}

/**
 * Sends the `run`s that a commit made allowed, straight to the machines. While the process is behind they are left to
 * the answers to the machines' next reports, which carry them anyway.
 */
export function sendStarts(state: ClusterState, intents: Iterable<Assignment>, now: Timestamp): void {
  if (isOverloaded(state.term)) return;
  const byMachine = new Map<string, Assignment[]>();
  for (const intent of intents) {
    const machine = state.machines.byName.get(intent.machineName);
    if (
      machine === undefined ||
      intent.startSentInSequence !== null ||
      startMayStillArrive(state.commands, intent) ||
      !isStartable(state, machine, intent, now.monotonic)
    )
      continue;
    const list = byMachine.get(intent.machineName) ?? [];
    list.push(intent);
    byMachine.set(intent.machineName, list);
  }
  for (const [name, list] of byMachine) {
    const machine = state.machines.byName.get(name);
    if (machine === undefined) continue;
    const flying = getOrCreateMap(state.commands.startsInFlight, name);
    for (const intent of list) {
      const key = attemptKey(intent.jobId, intent.taskIndex, intent.attempt);
      flying.set(key, (flying.get(key) ?? 0) + 1);
      intent.startSentInSequence = 0;
      intent.startSentAt ??= now.monotonic;
    }
    state.effects.push({
      kind: 'send-commands',
      machineName: name,
      agentEpoch: machine.agentEpoch,
      commands: list.map((intent) => ({
        op: 'start',
        jobId: intent.jobId,
        taskIndex: intent.taskIndex,
        attempt: intent.attempt,
      })),
    });
  }
}
