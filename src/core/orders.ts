/** @file The orders that workers get: in the answers to their reports, and by direct calls. */
import {
  type ClusterState,
  type Order,
  emitLog,
  innerMap,
  isBehind,
  mayArrive,
  runKey,
} from './cluster-state.js';
import { isCommitted } from './chunks.js';
import { type Intent, type Job, type Machine, type Report, taskKey } from './model.js';
import { mayStart } from './ownership-timing.js';
import { markReached } from './reports.js';
import { type Now, type Steady, seconds, toSeconds } from './time.js';

/** What became of a direct command. Unknown: a copy may still arrive and be carried out. */
export function onDirect(
  state: ClusterState,
  machine: string,
  session: number,
  token: number,
  orders: readonly Order[],
  outcome: 'executed' | 'refused' | 'unknown',
  /** The worker itself answered. */
  reached: boolean,
): void {
  const m = state.machines.get(machine);
  if (outcome !== 'unknown' && reached && m !== undefined) markReached(state, m);
  for (const order of orders) {
    if (order.op !== 'start') continue;
    const key = runKey(order.job, order.task, order.attempt);
    const flying = innerMap(state.flying, machine);
    const left = (flying.get(key) ?? 1) - 1;
    if (left > 0) flying.set(key, left);
    else flying.delete(key);
    if (outcome === 'unknown' && m !== undefined && m.session === session && m.token <= token)
      innerMap(state.loose, machine).set(key, token);
  }
}

/** Reports remembered as asked: copies come late, but seldom after so many others. */
const ASKED = 64;

/**
 * The orders that go into the answer to a machine's report. A late report gets none: its worker has gone on, and what
 * it would be told fits an older list. Its answer may still renew the lease, since a report can be overtaken by the
 * answer to a command; only the same report once more is surely a copy, whose answer reaches nobody.
 */
export function ordersFor(
  state: ClusterState,
  name: string,
  now: Now,
  report: Report | null = null,
): Order[] {
  const machine = state.machines.get(name);
  if (machine === undefined) return [];
  if (report !== null && report.session === machine.session) {
    if (machine.asked.includes(report.seq)) return [];
    // A worker has one report under way at a time: what is older than all of these is no original either.
    if (machine.asked.length === ASKED && report.seq < (machine.asked[0] ?? 0)) return [];
    machine.asked.push(report.seq);
    if (machine.asked.length > ASKED) machine.asked.shift();
  }
  machine.answered = now.steady;
  if (report !== null && (report.session !== machine.session || report.seq !== machine.seq)) return [];
  const orders: Order[] = [];
  for (const intent of machine.intents.values()) {
    const seen = machine.seen.get(taskKey(intent.job, intent.task));
    const there = seen !== undefined && seen.attempt === intent.attempt;
    if (intent.stopping !== null) {
      if (there)
        orders.push({
          op: 'stop',
          job: intent.job,
          task: intent.task,
          attempt: intent.attempt,
          grace: graceNow(state, intent, now.steady),
        });
    } else if (!there && isStartable(state, machine, intent, now.steady)) {
      intent.sentAt = machine.seq;
      intent.sentTime ??= now.steady;
      orders.push({ op: 'start', job: intent.job, task: intent.task, attempt: intent.attempt });
    }
  }
  orders.push(...stopsForStrays(state, machine));
  for (const forget of state.forgets.get(name)?.values() ?? [])
    if (mayForget(state, name, forget))
      orders.push({ op: 'forget', job: forget.job, task: forget.task, attempt: forget.attempt });
  return orders;
}

/** A task that was told to save but does not end is ended, once it had twice its time. */
function graceNow(state: ClusterState, intent: Intent, now: Steady): number {
  const grace = intent.stopping?.grace ?? 0;
  if (intent.stopping === null || grace === 0) return 0;
  const allowed = seconds(grace * 2) + state.facts.gangPeer + state.facts.report * 2n;
  return now - intent.stopping.since > allowed ? 0 : grace;
}

/** Tasks on the machine that no intent covers: they were given up with proof once, so whatever this is, it ends. */
function stopsForStrays(state: ClusterState, machine: Machine): Order[] {
  const out: Order[] = [];
  if (!machine.fenced) return out;
  for (const [key, task] of machine.seen) {
    const intent = machine.intents.get(key);
    if (intent !== undefined && intent.attempt === task.attempt) continue;
    emitLog(
      state,
      'stopping a task that no place is recorded for',
      { machine: machine.name, task: key, attempt: task.attempt },
      'info',
    );
    out.push({ op: 'stop', job: task.job, task: task.task, attempt: task.attempt, grace: 0 });
  }
  return out;
}

function mayForget(
  state: ClusterState,
  machine: string,
  f: { job: string; task: number; attempt: number; index: number | null; version: number },
): boolean {
  const key = runKey(f.job, f.task, f.attempt);
  // After a `forget` the attempt is unknown to the worker: a copy of its `run` would start it again.
  if (state.loose.get(machine)?.has(key) === true || (state.flying.get(machine)?.get(key) ?? 0) > 0)
    return false;
  if (state.machines.get(machine)?.fenced !== true) return false;
  const job = state.jobs.get(f.job);
  // A job that is over needs no more results.
  if (job === undefined || f.index === null || job.standing !== 'open') return true;
  return (job.chunks.get(f.index)?.committed ?? 0) >= f.version;
}

/** Drops forgets that the newest report shows as carried out. */
export function tidyForgets(state: ClusterState, report: Report): void {
  const map = state.forgets.get(report.machine);
  if (map === undefined) return;
  const exited = new Set(
    report.tasks
      .filter((task) => task.state === 'exited')
      .map((task) => runKey(task.job, task.task, task.attempt)),
  );
  for (const [k, forget] of map)
    if (!exited.has(runKey(forget.job, forget.task, forget.attempt))) map.delete(k);
}

/** Whether the task may be started now: its place is committed, its job open, our word from the state service recent. */
export function isStartable(state: ClusterState, machine: Machine, intent: Intent, now: Steady): boolean {
  const job = state.jobs.get(intent.job);
  if (job === undefined || job.standing !== 'open' || intent.stopping !== null) return false;
  if (state.dependencies.isWaiting(intent.job)) return false;
  if (intent.session !== machine.session || !machine.fenced || intent.phase !== 'placed') return false;
  if (!isCommitted(job, intent) || !mayStart(state.contact, now)) return false;
  // A gang starts as one: no member before all are committed.
  if (job.spec.kind === 'gang')
    for (const chunk of job.chunks.values())
      for (const other of chunk.intents.values()) if (!isCommitted(job, other)) return false;
  return job.spec.kind !== 'gang' || inStep(state, job, machine, intent, now);
}

/** Share of the time that a gang's tasks wait for one another which is planned with; fetches take a third more or less. */
const STEP = 0.4;

/**
 * Whether a gang's task should go off now: one whose image is there would wait for those that still fetch, give up
 * after a while and take the whole attempt with it. The slowest go first; what is late for any reason holds nobody up
 * for longer than its fetch should take.
 */
function inStep(state: ClusterState, job: Job, machine: Machine, intent: Intent, now: Steady): boolean {
  const fetch = (at: Machine | undefined): number => {
    if (at === undefined || at.images.has(job.spec.image)) return 0;
    const rate = state.types.get(at.type)?.fetchGbPerS ?? 0;
    return rate > 0 ? job.spec.imageGb / rate : 0;
  };
  const own = fetch(machine);
  let last = 0;
  for (const chunk of job.chunks.values())
    for (const other of chunk.intents.values()) {
      if (other === intent || (other.phase !== 'placed' && other.phase !== 'fetching')) continue;
      const passed = other.sentTime === null ? 0 : toSeconds(now - other.sentTime);
      last = Math.max(last, fetch(state.machines.get(other.machine)) - passed);
    }
  return own >= last - toSeconds(state.facts.gangWait) * STEP;
}

/**
 * Sends the `run`s that a commit made allowed, straight to the machines. While the process is behind they are left to
 * the answers to the machines' next reports, which carry them anyway.
 */
export function dispatch(state: ClusterState, intents: Iterable<Intent>, now: Now): void {
  if (isBehind(state)) return;
  const byMachine = new Map<string, Intent[]>();
  for (const intent of intents) {
    const machine = state.machines.get(intent.machine);
    if (
      machine === undefined ||
      intent.sentAt !== null ||
      mayArrive(state, intent) ||
      !isStartable(state, machine, intent, now.steady)
    )
      continue;
    const list = byMachine.get(intent.machine) ?? [];
    list.push(intent);
    byMachine.set(intent.machine, list);
  }
  for (const [name, list] of byMachine) {
    const machine = state.machines.get(name);
    if (machine === undefined) continue;
    const flying = innerMap(state.flying, name);
    for (const intent of list) {
      const key = runKey(intent.job, intent.task, intent.attempt);
      flying.set(key, (flying.get(key) ?? 0) + 1);
      intent.sentAt = 0;
      intent.sentTime ??= now.steady;
    }
    state.effects.push({
      kind: 'direct',
      machine: name,
      session: machine.session,
      orders: list.map((intent) => ({
        op: 'start',
        job: intent.job,
        task: intent.task,
        attempt: intent.attempt,
      })),
    });
  }
}
