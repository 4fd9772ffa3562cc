import { endIntent, isCommitted, machineOf, neverSent, stopIntent, wantForget } from './jobs.js';
import {
  taskKey,
  type Intent,
  type Job,
  type Listed,
  type Machine,
  type Report,
  type SeenTask,
  type Spec,
} from './model.js';
import { mayStart } from './parts.js';
import type { Free } from './placement.js';
import { later, seconds, toSeconds, type Now, type Steady } from './time.js';
import { inner, isBehind, mayArrive, note, runKey, stretched, type Order, type World } from './world.js';

/** A report is newer than what is known if its (session, sequence) is larger; late ones say nothing about now. */
const isNewer = (m: Machine, r: Report): boolean =>
  r.session > m.session || (r.session === m.session && r.seq > m.seq);

/** A machine found its way to us by itself: it is not in need of being asked. */
export function onArrival(w: World, name: string, now: Now): void {
  const m = w.machines.get(name);
  if (m === undefined || m.arrivedAt !== null) return;
  m.arrivedAt = now.steady;
  w.lastArrival = now.steady;
}

/** Takes in a report, whichever way it came. Exits count even in old ones; absence counts only in new ones. */
export function onReport(w: World, r: Report, now: Now): void {
  if (r.token > w.token) {
    w.effects.push({ kind: 'deposed', token: r.token });
    return;
  }
  if (w.gone.has(r.machine)) {
    note(w, 'a copy from a machine that is gone', { machine: r.machine, seq: r.seq });
    return;
  }
  const m = machineOf(w, r.machine, now.steady);
  for (const t of r.tasks) if (t.state === 'exited') onExit(w, m, r, t, now);
  if (!isNewer(m, r)) {
    note(w, 'late report', { machine: r.machine, session: r.session, seq: r.seq });
    return;
  }
  const wasUsable = usable(w, m, now.steady);
  m.endpoint = r.endpoint;
  if (m.type !== r.type) m.view = null;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  w.booting.delete(m.name);
  if (r.session > m.session) newSession(w, m, r.session, now.steady);
  m.seq = r.seq;
  m.token = r.token;
  m.heard = now.steady;
  m.notice = r.notice === null ? null : now.steady + r.notice;
  if (r.token >= w.firstToken) m.fenced = true;
  const loose = w.loose.get(m.name);
  // A copy carrying a lower token than the worker has seen is refused there.
  if (loose !== undefined) for (const [k, token] of loose) if (r.token > token) loose.delete(k);
  const listed = new Set<string>();
  m.seen.clear();
  for (const t of r.tasks) {
    listed.add(runKey(t.job, t.task, t.attempt));
    if (t.state !== 'exited') m.seen.set(taskKey(t.job, t.task), t);
  }
  for (const intent of [...m.intents.values()]) onListed(w, m, r, intent, listed, now);
  if (m.unheeded >= UNHEEDED) markDeaf(w, m, now.steady);
  const strayed = m.strays;
  m.strays = false;
  for (const [key, t] of m.seen) if (m.intents.get(key)?.attempt !== t.attempt) m.strays = true;
  if (strayed || m.strays) m.view = null;
  if (strayed && !m.strays) w.needPass = true;
  if (usable(w, m, now.steady) !== wasUsable) w.needPass = true;
}

/** So many `run`s that leave no trace in the reports after them are more than lost packets. */
const UNHEEDED = 3;

/** Nothing new goes to a machine that nothing reaches. What it holds is counted until its reports prove it gone. */
function markDeaf(w: World, m: Machine, now: Steady): void {
  if (m.deafSince !== null) return;
  // In a process that is behind, answers come after the worker has given up: that says nothing of the machine.
  if (isBehind(w)) return;
  m.deafSince = now;
  note(w, 'a machine reports, but what we send does not reach it', { machine: m.name }, 'info');
}

/** Only what shows that a command was received takes that away: a report alone does not. */
function markReached(w: World, m: Machine): void {
  m.unheeded = 0;
  if (m.deafSince === null) return;
  m.deafSince = null;
  w.needPass = true;
}

function newSession(w: World, m: Machine, session: number, now: Steady): void {
  // Its lease was over although we answered within it: nothing of what we send reaches it.
  // (The last answers before a machine hangs are lost too: those alone say nothing.)
  const sure = leaseEnd(w, m) - w.facts.report * 4n;
  if (m.session > 0 && m.deadSession < m.session && m.fenced && now < sure) markDeaf(w, m, now);
  m.session = session;
  m.seq = 0;
  m.asked = [];
  m.unheeded = 0;
  // The lease of a session runs from its beginning, also where no report of it was answered yet. Counting from an
  // older answer would call it over while the worker holds it, and a `run` under way would start what was given up.
  m.answered = later(m.answered, now);
  m.deadSession = Math.max(m.deadSession, session - 1);
  // The worker killed and forgot everything with its old session, and refuses commands for it.
  w.loose.delete(m.name);
  w.forgets.delete(m.name);
  for (const i of [...m.intents.values()])
    if (i.session < session) endIntent(w, i, false, 'newer session', now);
  w.needPass = true;
}

function onListed(
  w: World,
  m: Machine,
  r: Report,
  intent: Intent,
  listed: ReadonlySet<string>,
  now: Now,
): void {
  if (intent.session !== r.session) return;
  const job = w.jobs.get(intent.job);
  const seen = m.seen.get(taskKey(intent.job, intent.task));
  if (seen !== undefined && seen.attempt === intent.attempt) {
    if (seen.state !== 'exited') intent.phase = seen.state;
    m.unheeded = 0;
    if (seen.state === 'running' && intent.runningSince === null) intent.runningSince = now.steady;
    if (intent.sentAt === null) intent.sentAt = 0;
    if (seen.state !== 'fetching' && job !== undefined) useImage(w, m, job.spec, now.steady);
    return;
  }
  if (listed.has(runKey(intent.job, intent.task, intent.attempt))) return;
  // Absent. That proves something only if the worker has our token and no copy of the `run` can still come.
  if (!m.fenced || mayArrive(w, intent)) return;
  const answeredBefore = intent.sentAt === null || r.seq > intent.sentAt;
  if (!answeredBefore) return;
  // One report that shows nothing of several `run`s counts once.
  if (intent.phase === 'placed' && intent.sentAt !== null && intent.sentAt > 0 && m.unheededAt !== r.seq) {
    m.unheeded += 1;
    m.unheededAt = r.seq;
  }
  if (intent.phase !== 'placed') endIntent(w, intent, false, 'gone from the report', now.steady);
  else if (intent.stopping !== null)
    endIntent(w, intent, false, `not there: ${intent.stopping.why}`, now.steady);
}

/** Notes that a machine has an image. What it caches is bounded: images that were used longest ago make way. */
export function useImage(w: World, m: Machine, spec: Pick<Spec, 'image' | 'imageGb'>, now: Steady): void {
  const known = m.images.get(spec.image);
  if (known !== undefined) {
    known.used = now;
    return;
  }
  m.images.set(spec.image, { gb: spec.imageGb, used: now });
  const room = w.types.get(m.type)?.cacheGb ?? Infinity;
  let held = 0;
  for (const i of m.images.values()) held += i.gb;
  while (held > room && m.images.size > 1) {
    let oldest: string | null = null;
    let at = now + 1n;
    for (const [name, i] of m.images) if (i.used < at) [oldest, at] = [name, i.used];
    if (oldest === null) return;
    held -= m.images.get(oldest)?.gb ?? 0;
    m.images.delete(oldest);
  }
}

function onExit(w: World, m: Machine, r: Report, t: SeenTask, now: Now): void {
  const intent = m.intents.get(taskKey(t.job, t.task));
  if (intent !== undefined && intent.attempt === t.attempt && intent.session === r.session) {
    const job = w.jobs.get(t.job);
    const completed = t.why === 'done';
    if (job !== undefined && !completed) onFailure(w, job, m, t, now);
    if (intent.runningSince !== null && completed && job !== undefined)
      learnPace(w, job, now.steady - intent.runningSince);
    endIntent(w, intent, completed, t.why ?? 'exited', now.steady);
    if (job !== undefined && job.spec.kind === 'gang') onGangExit(w, job, t, completed, now);
  }
  if (r.session === m.session || m.session === 0) wantForget(w, m.name, t.job, t.task, t.attempt, now.steady);
}

/** A gang's tasks end together: after the first exit the rest of that attempt has no more to do. */
function onGangExit(w: World, job: Job, t: SeenTask, completed: boolean, now: Now): void {
  if (completed) return;
  for (const chunk of job.chunks.values())
    for (const i of [...chunk.intents.values()])
      if (i.attempt === t.attempt && i.stopping === null)
        stopIntent(w, i, 0, `gang lost a task: ${t.why}`, now.steady);
}

function onFailure(w: World, job: Job, m: Machine, t: SeenTask, now: Now): void {
  if (t.why === 'error') {
    job.failures += 1;
    job.failedOn.set(m.name, (job.failedOn.get(m.name) ?? 0) + 1);
    // A job failing everywhere is its own fault: pauses grow, and no machine is blamed for it alone.
    job.notBefore =
      now.steady + seconds(job.failedOn.size > 2 ? Math.min(2 ** Math.min(job.failures, 6), 60) : 0.2);
    m.faults.set(job.spec.id, now.steady);
    const blame = [...m.faults.keys()].filter((id) => (w.jobs.get(id)?.failedOn.size ?? 0) <= 2);
    if (!m.setAside && blame.length >= w.knobs.faultJobs) {
      m.setAside = true;
      m.setAsideSince = now.steady;
      note(w, 'machine set aside: different jobs fail on it', { machine: m.name, jobs: blame }, 'info');
    }
  } else if (t.why === 'full' || t.why === 'busy' || t.why === 'no_such') {
    job.notBefore = now.steady + seconds(0.5);
    note(w, 'start refused', { machine: m.name, job: job.spec.id, why: t.why }, 'info');
  }
}

function learnPace(w: World, job: Job, took: Steady): void {
  const expected = toSeconds(job.spec.estimate);
  if (expected <= 0) return;
  const ratio = Math.min(4, Math.max(0.25, toSeconds(took) / expected));
  w.pace.set(job.spec.class, (w.pace.get(job.spec.class) ?? 1) * 0.9 + ratio * 0.1);
}

/** What became of a direct command. Unknown: a copy may still arrive and be carried out. */
export function onDirect(
  w: World,
  machine: string,
  session: number,
  token: number,
  orders: readonly Order[],
  outcome: 'executed' | 'refused' | 'unknown',
  /** The worker itself answered. */
  reached: boolean,
): void {
  const m = w.machines.get(machine);
  if (outcome !== 'unknown' && reached && m !== undefined) markReached(w, m);
  for (const o of orders) {
    if (o.op !== 'start') continue;
    const key = runKey(o.job, o.task, o.attempt);
    const flying = inner(w.flying, machine);
    const left = (flying.get(key) ?? 1) - 1;
    if (left > 0) flying.set(key, left);
    else flying.delete(key);
    if (outcome === 'unknown' && m !== undefined && m.session === session && m.token <= token)
      inner(w.loose, machine).set(key, token);
  }
}

/** Reports remembered as asked: copies come late, but seldom after so many others. */
const ASKED = 64;

/**
 * The orders that go into the answer to a machine's report. A late report gets none: its worker has gone on, and what
 * it would be told fits an older list. Its answer may still renew the lease, since a report can be overtaken by the
 * answer to a command; only the same report once more is surely a copy, whose answer reaches nobody.
 */
export function ordersFor(w: World, name: string, now: Now, report: Report | null = null): Order[] {
  const m = w.machines.get(name);
  if (m === undefined) return [];
  if (report !== null && report.session === m.session) {
    if (m.asked.includes(report.seq)) return [];
    // A worker has one report under way at a time: what is older than all of these is no original either.
    if (m.asked.length === ASKED && report.seq < (m.asked[0] ?? 0)) return [];
    m.asked.push(report.seq);
    if (m.asked.length > ASKED) m.asked.shift();
  }
  m.answered = now.steady;
  if (report !== null && (report.session !== m.session || report.seq !== m.seq)) return [];
  const orders: Order[] = [];
  for (const i of m.intents.values()) {
    const seen = m.seen.get(taskKey(i.job, i.task));
    const there = seen !== undefined && seen.attempt === i.attempt;
    if (i.stopping !== null) {
      if (there)
        orders.push({
          op: 'stop',
          job: i.job,
          task: i.task,
          attempt: i.attempt,
          grace: graceNow(w, i, now.steady),
        });
    } else if (!there && startable(w, m, i, now.steady)) {
      i.sentAt = m.seq;
      i.sentTime ??= now.steady;
      orders.push({ op: 'start', job: i.job, task: i.task, attempt: i.attempt });
    }
  }
  orders.push(...strays(w, m));
  for (const f of w.forgets.get(name)?.values() ?? [])
    if (mayForget(w, name, f)) orders.push({ op: 'forget', job: f.job, task: f.task, attempt: f.attempt });
  return orders;
}

/** A task that was told to save but does not end is ended, once it had twice its time. */
function graceNow(w: World, i: Intent, now: Steady): number {
  const grace = i.stopping?.grace ?? 0;
  if (i.stopping === null || grace === 0) return 0;
  const allowed = seconds(grace * 2) + w.facts.gangPeer + w.facts.report * 2n;
  return now - i.stopping.since > allowed ? 0 : grace;
}

/** Tasks on the machine that no intent covers: they were given up with proof once, so whatever this is, it ends. */
function strays(w: World, m: Machine): Order[] {
  const out: Order[] = [];
  if (!m.fenced) return out;
  for (const [key, t] of m.seen) {
    const i = m.intents.get(key);
    if (i !== undefined && i.attempt === t.attempt) continue;
    note(
      w,
      'stopping a task that no place is recorded for',
      { machine: m.name, task: key, attempt: t.attempt },
      'info',
    );
    out.push({ op: 'stop', job: t.job, task: t.task, attempt: t.attempt, grace: 0 });
  }
  return out;
}

function mayForget(
  w: World,
  machine: string,
  f: { job: string; task: number; attempt: number; index: number | null; version: number },
): boolean {
  const key = runKey(f.job, f.task, f.attempt);
  // After a `forget` the attempt is unknown to the worker: a copy of its `run` would start it again.
  if (w.loose.get(machine)?.has(key) === true || (w.flying.get(machine)?.get(key) ?? 0) > 0) return false;
  if (w.machines.get(machine)?.fenced !== true) return false;
  const job = w.jobs.get(f.job);
  // A job that is over needs no more results.
  if (job === undefined || f.index === null || job.standing !== 'open') return true;
  return (job.chunks.get(f.index)?.committed ?? 0) >= f.version;
}

/** Drops forgets that the newest report shows as carried out. */
export function tidyForgets(w: World, r: Report): void {
  const map = w.forgets.get(r.machine);
  if (map === undefined) return;
  const exited = new Set(
    r.tasks.filter((t) => t.state === 'exited').map((t) => runKey(t.job, t.task, t.attempt)),
  );
  for (const [k, f] of map) if (!exited.has(runKey(f.job, f.task, f.attempt))) map.delete(k);
}

export function startable(w: World, m: Machine, i: Intent, now: Steady): boolean {
  const job = w.jobs.get(i.job);
  if (job === undefined || job.standing !== 'open' || i.stopping !== null) return false;
  if (i.session !== m.session || !m.fenced || i.phase !== 'placed') return false;
  if (!isCommitted(job, i) || !mayStart(w.contact, now)) return false;
  // A gang starts as one: no member before all are committed.
  if (job.spec.kind === 'gang')
    for (const chunk of job.chunks.values())
      for (const other of chunk.intents.values()) if (!isCommitted(job, other)) return false;
  return job.spec.kind !== 'gang' || inStep(w, job, m, i, now);
}

/** Share of the time that a gang's tasks wait for one another which is planned with; fetches take a third more or less. */
const STEP = 0.4;

/**
 * Whether a gang's task should go off now: one whose image is there would wait for those that still fetch, give up
 * after a while and take the whole attempt with it. The slowest go first; what is late for any reason holds nobody up
 * for longer than its fetch should take.
 */
function inStep(w: World, job: Job, m: Machine, i: Intent, now: Steady): boolean {
  const fetch = (at: Machine | undefined): number => {
    if (at === undefined || at.images.has(job.spec.image)) return 0;
    const rate = w.types.get(at.type)?.fetchGbPerS ?? 0;
    return rate > 0 ? job.spec.imageGb / rate : 0;
  };
  const own = fetch(m);
  let last = 0;
  for (const chunk of job.chunks.values())
    for (const other of chunk.intents.values()) {
      if (other === i || (other.phase !== 'placed' && other.phase !== 'fetching')) continue;
      const passed = other.sentTime === null ? 0 : toSeconds(now - other.sentTime);
      last = Math.max(last, fetch(w.machines.get(other.machine)) - passed);
    }
  return own >= last - toSeconds(w.facts.gangWait) * STEP;
}

/**
 * Sends the `run`s that a commit made allowed, straight to the machines. While the process is behind they are left to
 * the answers to the machines' next reports, which carry them anyway.
 */
export function dispatch(w: World, intents: Iterable<Intent>, now: Now): void {
  if (isBehind(w)) return;
  const byMachine = new Map<string, Intent[]>();
  for (const i of intents) {
    const m = w.machines.get(i.machine);
    if (m === undefined || i.sentAt !== null || mayArrive(w, i) || !startable(w, m, i, now.steady)) continue;
    const list = byMachine.get(i.machine) ?? [];
    list.push(i);
    byMachine.set(i.machine, list);
  }
  for (const [name, list] of byMachine) {
    const m = w.machines.get(name);
    if (m === undefined) continue;
    const flying = inner(w.flying, name);
    for (const i of list) {
      const key = runKey(i.job, i.task, i.attempt);
      flying.set(key, (flying.get(key) ?? 0) + 1);
      i.sentAt = 0;
      i.sentTime ??= now.steady;
    }
    w.effects.push({
      kind: 'direct',
      machine: name,
      session: m.session,
      orders: list.map((i) => ({ op: 'start', job: i.job, task: i.task, attempt: i.attempt })),
    });
  }
}

/** From when on the lease of a silent worker is surely over, and with it every task it held. */
export function leaseEnd(w: World, m: Machine): Steady {
  // Until the worker has shown this term's token, an earlier owner may have answered it after we last did.
  const answered = m.fenced || m.answered > w.othersQuiet ? m.answered : w.othersQuiet;
  return answered + stretched(w.facts.lease) + seconds(0.5);
}

export function reapSilent(w: World, now: Now): void {
  for (const m of w.machines.values()) {
    if (m.intents.size === 0 || now.steady < leaseEnd(w, m)) continue;
    let over = m.session;
    for (const i of m.intents.values()) over = Math.max(over, i.session);
    m.deadSession = Math.max(m.deadSession, over);
    note(
      w,
      'lease over: its tasks are gone',
      { machine: m.name, session: over, tasks: m.intents.size },
      'info',
    );
    for (const i of [...m.intents.values()]) endIntent(w, i, false, 'lease over', now.steady);
    m.seen.clear();
    m.strays = false;
    m.view = null;
  }
}

/** Whether a task may be placed here now. */
export function usable(w: World, m: Machine, now: Steady): boolean {
  if (!m.fenced || m.session === 0 || m.session <= m.deadSession) return false;
  if (m.setAside || m.returning || m.notice !== null || m.listed === 'failed' || m.deafSince !== null)
    return false;
  // Without an answer to it the worker goes on to its next session soon, and what it holds is gone.
  if (now >= leaseEnd(w, m)) return false;
  return now - m.heard <= (w.facts.report * 5n) / 2n + seconds(1) && w.types.has(m.type);
}

/** What is free on a machine, counted again only after a change there. */
export function viewOf(w: World, m: Machine): { readonly r: Free; readonly room: Free } {
  m.view ??= countFree(w, m);
  return m.view;
}

/** r_i: what neither an intent nor a reported task takes. Callers do not change it. */
export const freeOn = (w: World, m: Machine): Readonly<Free> => viewOf(w, m).r;

function countFree(w: World, m: Machine): { r: Free; room: Free } {
  const type = w.types.get(m.type);
  if (type === undefined)
    return { r: { cpus: 0, gpus: 0, memory: 0 }, room: { cpus: 0, gpus: 0, memory: 0 } };
  const r: Free = { cpus: type.cpus, gpus: type.gpus, memory: type.memory };
  const room: Free = { ...r };
  const take = (from: Free, s: Spec): void => {
    from.cpus -= s.cpus;
    from.gpus -= s.gpus;
    from.memory -= s.memory;
  };
  for (const i of m.intents.values()) {
    const job = w.jobs.get(i.job);
    if (job === undefined) continue;
    take(r, job.spec);
    if (i.stopping === null) take(room, job.spec);
  }
  if (m.strays)
    for (const [key, t] of m.seen) {
      const i = m.intents.get(key);
      const job = w.jobs.get(t.job);
      if (job === undefined || (i !== undefined && i.attempt === t.attempt)) continue;
      take(r, job.spec);
      take(room, job.spec);
    }
  return { r, room };
}

export function onList(w: World, list: readonly Listed[], sent: Steady, now: Now): void {
  const names = new Set<string>();
  w.listSeen = true;
  for (const l of list) {
    names.add(l.name);
    // Lists lag: what is proven gone stays on them for a while.
    if (w.gone.has(l.name)) continue;
    const m = machineOf(w, l.name, now.steady);
    if (m.endpoint === '') m.endpoint = l.endpoint;
    if (m.session === 0) {
      if (m.type !== l.type) m.view = null;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
      if (!w.booting.has(l.name) && l.state === 'booting')
        w.booting.set(l.name, { type: l.type, zone: l.zone, spot: l.spot, since: now.steady - l.age });
    }
    if (m.listed !== l.state) w.needPass = true;
    m.listed = l.state;
    m.listedAt = now.steady;
  }
  // The list lags and may go back in time: only what has long been missing and silent is dropped.
  const long = w.facts.listLag * 6n;
  for (const m of [...w.machines.values()]) {
    if (names.has(m.name)) continue;
    if (m.intents.size > 0) {
      unlisted(w, m, sent, now);
      continue;
    }
    const last = [m.heard, m.listedAt ?? 0n, m.firstKnown].reduce((a, b) => (a > b ? a : b));
    if (now.steady - last > long && now.steady > leaseEnd(w, m)) {
      w.machines.delete(m.name);
      w.booting.delete(m.name);
      w.loose.delete(m.name);
      w.flying.delete(m.name);
      w.forgets.delete(m.name);
    }
  }
}

/**
 * A list describes a moment at most twice its lag before it was asked for, and holds every machine that was there then
 * and had been for so long. A machine that reported, or had a place recorded, before that moment and is not listed is
 * gone with all it held: taken back, or deleted. Without this proof the tasks of spot machines that were taken just
 * before a takeover waited for leases that an earlier owner might have renewed, and again after each further one.
 */
function unlisted(w: World, m: Machine, sent: Steady, now: Now): void {
  const existed = m.heard > 0n ? m.heard : w.began;
  if (sent < existed + (w.facts.listLag * 5n) / 2n + seconds(2)) return;
  note(w, 'not listed any more: gone', { machine: m.name, tasks: m.intents.size }, 'info');
  for (const i of [...m.intents.values()]) endIntent(w, i, false, 'machine gone', now.steady);
  drop(w, m.name, now.steady);
}

/** The cloud has answered: these machines and all they held are gone. */
export function onReturned(w: World, names: readonly string[], now: Now): void {
  for (const name of names) {
    const m = w.machines.get(name);
    if (m === undefined) continue;
    for (const i of [...m.intents.values()]) endIntent(w, i, false, 'machine returned', now.steady);
    drop(w, name, now.steady);
  }
  w.needPass = true;
}

/** Copies of a gone machine's reports come late, but hardly later than this. */
const COPIES_COME = seconds(600);

/** Proven gone. A late copy of its reports would otherwise make it look alive, and work would be sent there. */
function drop(w: World, name: string, now: Steady): void {
  w.machines.delete(name);
  w.booting.delete(name);
  w.loose.delete(name);
  w.flying.delete(name);
  w.forgets.delete(name);
  w.gone.set(name, now);
  for (const [old, at] of w.gone) {
    if (now - at < COPIES_COME) break;
    w.gone.delete(old);
  }
}

/** Machines asked in one go: after a takeover of a large fleet all of them would otherwise be called at once. */
const FENCE_AT_ONCE = 50;
/** While workers are still finding their way to us, or the process is behind, only so many are called. */
const FENCE_BUSY = 1;
/** With no machine arriving for so long, those that have not are not on their way by themselves. */
const FENCE_QUIET = seconds(1);

/**
 * How long a machine that reports to us has to show this term's token by itself: a higher token makes it report again
 * half a second later.
 */
const SHOWS_TOKEN = seconds(1.5);

/**
 * Asks machines that have not shown this term's token to take it: it is raised before anything else is done. A machine
 * whose reports come shows it by itself in the one after the first that is answered, so it is asked only when it does
 * not; a direct call costs several times as much as a report. Those with work to do are asked first.
 */
export function fence(w: World, now: Now): void {
  const asked: Machine[] = [];
  for (const m of w.machines.values()) {
    if (m.fenced || m.endpoint === '' || m.listed === 'booting' || m.listed === 'failed') continue;
    if (m.probedAt !== null && now.steady - m.probedAt < seconds(2)) continue;
    if (m.arrivedAt !== null && now.steady - m.arrivedAt < SHOWS_TOKEN) continue;
    asked.push(m);
  }
  const coming = now.steady - w.lastArrival < FENCE_QUIET;
  const most = coming || isBehind(w) ? FENCE_BUSY : FENCE_AT_ONCE;
  if (asked.length > most) asked.sort((a, b) => b.intents.size - a.intents.size);
  for (const m of asked.slice(0, most)) {
    m.probedAt = now.steady;
    w.effects.push({ kind: 'direct', machine: m.name, session: Math.max(m.session, 1), orders: [] });
  }
}

/** Whether some copy of a `run` blocks progress and only a higher token can settle that it never comes. */
export function wantsHigherToken(w: World, now: Now): string | null {
  if (now.steady - w.raisedAt < w.facts.lease / 2n || !mayStart(w.contact, now.steady)) return null;
  for (const [name, loose] of w.loose) {
    const m = w.machines.get(name);
    if (m === undefined || loose.size === 0 || now.steady - m.heard > w.facts.report * 3n) continue;
    for (const f of w.forgets.get(name)?.values() ?? [])
      if (loose.has(runKey(f.job, f.task, f.attempt))) return `a result on ${name} cannot be forgotten`;
    for (const i of m.intents.values())
      if (i.stopping !== null && !m.seen.has(taskKey(i.job, i.task)) && !neverSent(w, i))
        return `a stop on ${name} cannot be proven`;
  }
  return null;
}
