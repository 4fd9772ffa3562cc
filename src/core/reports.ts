/** @file What a worker's report proves about the tasks and the machine that it tells of. */
import { isUsable } from './capacity.js';
import { type ClusterState, emitLog, isBehind, mayArrive, runKey } from './cluster-state.js';
import { useImage } from './image-cache.js';
import { endIntent, stopIntent, wantForget } from './intents.js';
import { machineOf } from './machine-registry.js';
import { leaseEnd } from './leases.js';
import { type Intent, type Job, type Machine, type Report, type SeenTask, taskKey } from './model.js';
import { type Now, type Steady, laterOf, seconds, toSeconds } from './time.js';

/** A report is newer than what is known if its (session, sequence) is larger; late ones say nothing about now. */
const isNewer = (machine: Machine, report: Report): boolean =>
  report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);

/** A machine found its way to us by itself: it is not in need of being asked. */
export function onArrival(state: ClusterState, name: string, now: Now): void {
  const machine = state.machines.get(name);
  if (machine === undefined || machine.arrivedAt !== null) return;
  machine.arrivedAt = now.steady;
  state.lastArrival = now.steady;
}

/** Takes in a report, whichever way it came. Exits count even in old ones; absence counts only in new ones. */
export function onReport(state: ClusterState, report: Report, now: Now): void {
  if (report.token > state.token) {
    state.effects.push({ kind: 'deposed', token: report.token });
    return;
  }
  if (state.gone.has(report.machine)) {
    emitLog(state, 'a copy from a machine that is gone', { machine: report.machine, seq: report.seq });
    return;
  }
  const machine = machineOf(state, report.machine, now.steady);
  for (const task of report.tasks) if (task.state === 'exited') onExit(state, machine, report, task, now);
  if (!isNewer(machine, report)) {
    emitLog(state, 'late report', { machine: report.machine, session: report.session, seq: report.seq });
    return;
  }
  const wasUsable = isUsable(state, machine, now.steady);
  machine.endpoint = report.endpoint;
  if (machine.type !== report.type) machine.view = null;
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  state.booting.delete(machine.name);
  if (report.session > machine.session) newSession(state, machine, report.session, now.steady);
  machine.seq = report.seq;
  machine.token = report.token;
  machine.heard = now.steady;
  machine.notice = report.notice === null ? null : now.steady + report.notice;
  if (report.token >= state.firstToken) machine.fenced = true;
  const loose = state.loose.get(machine.name);
  // A copy carrying a lower token than the worker has seen is refused there.
  if (loose !== undefined) for (const [k, token] of loose) if (report.token > token) loose.delete(k);
  const listed = new Set<string>();
  machine.seen.clear();
  for (const task of report.tasks) {
    listed.add(runKey(task.job, task.task, task.attempt));
    if (task.state !== 'exited') machine.seen.set(taskKey(task.job, task.task), task);
  }
  for (const intent of [...machine.intents.values()]) onListed(state, machine, report, intent, listed, now);
  if (machine.unheeded >= UNHEEDED) markDeaf(state, machine, now.steady);
  const strayed = machine.strays;
  machine.strays = false;
  for (const [key, task] of machine.seen)
    if (machine.intents.get(key)?.attempt !== task.attempt) machine.strays = true;
  if (strayed || machine.strays) machine.view = null;
  if (strayed && !machine.strays) state.needPass = true;
  if (isUsable(state, machine, now.steady) !== wasUsable) state.needPass = true;
}

/** So many `run`s that leave no trace in the reports after them are more than lost packets. */
const UNHEEDED = 3;

/** Nothing new goes to a machine that nothing reaches. What it holds is counted until its reports prove it gone. */
function markDeaf(state: ClusterState, machine: Machine, now: Steady): void {
  if (machine.deafSince !== null) return;
  // In a process that is behind, answers come after the worker has given up: that says nothing of the machine.
  if (isBehind(state)) return;
  machine.deafSince = now;
  emitLog(state, 'a machine reports, but what we send does not reach it', { machine: machine.name }, 'info');
}

/** Only what shows that a command was received takes that away: a report alone does not. */
export function markReached(state: ClusterState, machine: Machine): void {
  machine.unheeded = 0;
  if (machine.deafSince === null) return;
  machine.deafSince = null;
  state.needPass = true;
}

function newSession(state: ClusterState, machine: Machine, session: number, now: Steady): void {
  // Its lease was over although we answered within it: nothing of what we send reaches it.
  // (The last answers before a machine hangs are lost too: those alone say nothing.)
  const sure = leaseEnd(state, machine) - state.facts.report * 4n;
  if (machine.session > 0 && machine.deadSession < machine.session && machine.fenced && now < sure)
    markDeaf(state, machine, now);
  machine.session = session;
  machine.seq = 0;
  machine.asked = [];
  machine.unheeded = 0;
  // The lease of a session runs from its beginning, also where no report of it was answered yet. Counting from an
  // older answer would call it over while the worker holds it, and a `run` under way would start what was given up.
  machine.answered = laterOf(machine.answered, now);
  machine.deadSession = Math.max(machine.deadSession, session - 1);
  // The worker killed and forgot everything with its old session, and refuses commands for it.
  state.loose.delete(machine.name);
  state.forgets.delete(machine.name);
  for (const intent of [...machine.intents.values()])
    if (intent.session < session) endIntent(state, intent, false, 'newer session', now);
  state.needPass = true;
}

function onListed(
  state: ClusterState,
  machine: Machine,
  report: Report,
  intent: Intent,
  listed: ReadonlySet<string>,
  now: Now,
): void {
  if (intent.session !== report.session) return;
  const job = state.jobs.get(intent.job);
  const seen = machine.seen.get(taskKey(intent.job, intent.task));
  if (seen !== undefined && seen.attempt === intent.attempt) {
    if (seen.state !== 'exited') intent.phase = seen.state;
    machine.unheeded = 0;
    if (seen.state === 'running' && intent.runningSince === null) intent.runningSince = now.steady;
    if (intent.sentAt === null) intent.sentAt = 0;
    if (seen.state !== 'fetching' && job !== undefined) useImage(state, machine, job.spec, now.steady);
    return;
  }
  if (listed.has(runKey(intent.job, intent.task, intent.attempt))) return;
  // Absent. That proves something only if the worker has our token and no copy of the `run` can still come.
  if (!machine.fenced || mayArrive(state, intent)) return;
  const answeredBefore = intent.sentAt === null || report.seq > intent.sentAt;
  if (!answeredBefore) return;
  // One report that shows nothing of several `run`s counts once.
  if (
    intent.phase === 'placed' &&
    intent.sentAt !== null &&
    intent.sentAt > 0 &&
    machine.unheededAt !== report.seq
  ) {
    machine.unheeded += 1;
    machine.unheededAt = report.seq;
  }
  if (intent.phase !== 'placed') endIntent(state, intent, false, 'gone from the report', now.steady);
  else if (intent.stopping !== null)
    endIntent(state, intent, false, `not there: ${intent.stopping.why}`, now.steady);
}

function onExit(state: ClusterState, machine: Machine, report: Report, task: SeenTask, now: Now): void {
  const intent = machine.intents.get(taskKey(task.job, task.task));
  if (intent !== undefined && intent.attempt === task.attempt && intent.session === report.session) {
    const job = state.jobs.get(task.job);
    const completed = task.why === 'done';
    if (job !== undefined && !completed) onFailure(state, job, machine, task, now);
    if (intent.runningSince !== null && completed && job !== undefined)
      learnPace(state, job, now.steady - intent.runningSince);
    endIntent(state, intent, completed, task.why ?? 'exited', now.steady);
    if (job !== undefined && job.spec.kind === 'gang') onGangExit(state, job, task, completed, now);
  }
  if (report.session === machine.session || machine.session === 0)
    wantForget(state, machine.name, task.job, task.task, task.attempt, now.steady);
}

/** A gang's tasks end together: after the first exit the rest of that attempt has no more to do. */
function onGangExit(state: ClusterState, job: Job, task: SeenTask, completed: boolean, now: Now): void {
  if (completed) return;
  for (const chunk of job.chunks.values())
    for (const intent of [...chunk.intents.values()])
      if (intent.attempt === task.attempt && intent.stopping === null)
        stopIntent(state, intent, 0, `gang lost a task: ${task.why}`, now.steady);
}

function onFailure(state: ClusterState, job: Job, machine: Machine, task: SeenTask, now: Now): void {
  if (task.why === 'error') {
    job.failures += 1;
    job.failedOn.set(machine.name, (job.failedOn.get(machine.name) ?? 0) + 1);
    // A job failing everywhere is its own fault: pauses grow, and no machine is blamed for it alone.
    job.notBefore =
      now.steady + seconds(job.failedOn.size > 2 ? Math.min(2 ** Math.min(job.failures, 6), 60) : 0.2);
    machine.faults.set(job.spec.id, now.steady);
    const blame = [...machine.faults.keys()].filter((id) => (state.jobs.get(id)?.failedOn.size ?? 0) <= 2);
    if (!machine.setAside && blame.length >= state.settings.faultJobs) {
      machine.setAside = true;
      machine.setAsideSince = now.steady;
      emitLog(
        state,
        'machine set aside: different jobs fail on it',
        { machine: machine.name, jobs: blame },
        'info',
      );
    }
  } else if (task.why === 'full' || task.why === 'busy' || task.why === 'no_such') {
    job.notBefore = now.steady + seconds(0.5);
    emitLog(state, 'start refused', { machine: machine.name, job: job.spec.id, why: task.why }, 'info');
  }
}

function learnPace(state: ClusterState, job: Job, took: Steady): void {
  const expected = toSeconds(job.spec.estimate);
  if (expected <= 0) return;
  const ratio = Math.min(4, Math.max(0.25, toSeconds(took) / expected));
  state.pace.set(job.spec.class, (state.pace.get(job.spec.class) ?? 1) * 0.9 + ratio * 0.1);
}
