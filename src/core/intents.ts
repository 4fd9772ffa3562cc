/** @file The life of an intent, one possible place of a task: placed, stopped, ended on proof. */
import { CHUNK_TASKS, chunkOf, closeChunks, markChanged } from './chunks.js';
import { type ClusterState, emitLog, innerMap, isBehind, mayArrive } from './cluster-state.js';
import { type Intent, type Job, type Machine, taskKey } from './model.js';
import { type Steady, toSeconds } from './time.js';

/** Records a possible place of a task; nothing is sent before it is committed. */
export function place(
  state: ClusterState,
  job: Job,
  task: number,
  attempt: number,
  machine: Machine,
  now: Steady,
): Intent {
  const chunk = chunkOf(job, task);
  chunk.attempt = Math.max(chunk.attempt, attempt);
  markChanged(state, job, chunk, true, now);
  const intent: Intent = {
    job: job.spec.id,
    task,
    attempt,
    machine: machine.name,
    session: machine.session,
    zone: machine.zone,
    version: state.version,
    created: now,
    phase: 'placed',
    stopping: null,
    sentAt: null,
    sentTime: null,
    runningSince: null,
  };
  chunk.intents.set(task, intent);
  job.free.delete(task);
  if (job.free.size === 0) state.waiting.delete(job.spec.id);
  job.placedCount += 1;
  state.quota.take(job.spec);
  machine.intents.set(taskKey(job.spec.id, task), intent);
  machine.view = null;
  machine.idleSince = null;
  return intent;
}

/** Ends an intent on proof that the task is not on the machine and cannot come there. */
export function endIntent(
  state: ClusterState,
  intent: Intent,
  completed: boolean,
  why: string,
  now: Steady,
): void {
  const job = state.jobs.get(intent.job);
  if (job === undefined) return;
  const chunk = chunkOf(job, intent.task);
  if (chunk.intents.get(intent.task) !== intent) return;
  chunk.intents.delete(intent.task);
  const machine = state.machines.get(intent.machine);
  if (machine !== undefined) {
    machine.intents.delete(taskKey(intent.job, intent.task));
    machine.view = null;
  }
  job.placedCount -= 1;
  state.quota.release(job.spec);
  if (completed && !chunk.done.has(intent.task)) {
    chunk.done.add(intent.task);
    job.doneCount += 1;
  } else if (!completed && job.standing === 'open' && !chunk.done.has(intent.task)) {
    job.free.add(intent.task);
    state.waiting.add(intent.job);
    if (job.spec.kind === 'service') job.lostAt = now;
  }
  markChanged(state, job, chunk, false, now);
  closeChunks(job);
  state.needPass = true;
  emitLog(state, 'place ended', {
    task: taskKey(intent.job, intent.task),
    attempt: intent.attempt,
    machine: intent.machine,
    why,
    ...(intent.runningSince === null
      ? {}
      : { ran: toSeconds(now - intent.runningSince), expected: toSeconds(job.spec.estimate) }),
  });
  if (job.doneCount === job.spec.tasks) wantDone(state, job, now);
}

/** Has the job committed as done once all its results are. */
export function wantDone(state: ClusterState, job: Job, now: Steady): void {
  if (job.standing !== 'open' || job.doneWanted || job.spec.kind === 'service') return;
  job.doneWanted = true;
  state.dirtyJobs.set(job.spec.id, now);
  // Its user hears of the end once all results are recorded.
  for (const chunk of job.chunks.values())
    if (chunk.version > chunk.committed && chunk.page !== null) state.urgent.add(chunk.page.id);
}

/**
 * A gang's tasks complete together: once one is done, all are, also one whose machine never came to tell it. Without
 * this a gang whose last member was lost with its machine waited for ever, neither done nor placed again.
 */
export function finishGang(state: ClusterState, job: Job, now: Steady): void {
  for (const task of [...job.free]) {
    const chunk = chunkOf(job, task);
    job.free.delete(task);
    chunk.done.add(task);
    job.doneCount += 1;
    markChanged(state, job, chunk, true, now);
  }
  state.waiting.delete(job.spec.id);
  if (job.doneCount === job.spec.tasks) wantDone(state, job, now);
}

/** An intent of this term whose `run` never left can be ended at once: nobody else could have sent it. */
export const neverSent = (state: ClusterState, intent: Intent): boolean =>
  intent.sentAt === null && !mayArrive(state, intent);

/** Has a task stopped, or its place ended at once if its start never left. */
export function stopIntent(
  state: ClusterState,
  intent: Intent,
  grace: number,
  why: string,
  now: Steady,
): void {
  if (neverSent(state, intent)) {
    endIntent(state, intent, false, `never sent: ${why}`, now);
    return;
  }
  if (intent.stopping !== null && intent.stopping.grace <= grace) return;
  intent.stopping = { grace, why, since: now };
  const machine = state.machines.get(intent.machine);
  if (machine !== undefined) machine.view = null;
  if (machine === undefined || machine.session !== intent.session || !machine.fenced) return;
  // The answer to its next report carries it too.
  if (isBehind(state)) return;
  state.effects.push({
    kind: 'direct',
    machine: machine.name,
    session: machine.session,
    orders: [{ op: 'stop', job: intent.job, task: intent.task, attempt: intent.attempt, grace }],
  });
}

/** Stops all tasks of a job. */
export function stopJob(state: ClusterState, job: Job, why: string, now: Steady, grace = 0): void {
  for (const chunk of job.chunks.values())
    for (const intent of [...chunk.intents.values()]) stopIntent(state, intent, grace, why, now);
}

/** All possible places of a job’s tasks. */
export function intentsOf(job: Job): Intent[] {
  const out: Intent[] = [];
  for (const chunk of job.chunks.values()) out.push(...chunk.intents.values());
  return out;
}

/** How many tasks may be in each zone now, by recorded intents. */
export function zonesTaken(job: Job): Map<string, number> {
  const taken = new Map<string, number>();
  for (const chunk of job.chunks.values())
    for (const intent of chunk.intents.values()) taken.set(intent.zone, (taken.get(intent.zone) ?? 0) + 1);
  return taken;
}

/** Remembers that an exited task is to be forgotten once its result is committed. */
export function wantForget(
  state: ClusterState,
  machine: string,
  job: string,
  task: number,
  attempt: number,
  now: Steady,
): void {
  const known = state.jobs.get(job);
  const chunk = known === undefined ? undefined : known.chunks.get(Math.floor(task / CHUNK_TASKS));
  const key = taskKey(job, task);
  const map = innerMap(state.forgets, machine);
  if (map.get(key)?.attempt === attempt) return;
  map.set(key, { job, task, attempt, index: chunk?.index ?? null, version: chunk?.version ?? 0, since: now });
}
