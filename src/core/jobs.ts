import {
  taskKey,
  type Chunk,
  type Intent,
  type Job,
  type JobRecord,
  type Machine,
  type Page,
} from './model.js';
import { leavePage, pageFor, type PageEntry } from './pages.js';
import { toSeconds, type Now, type Steady } from './time.js';
import { inner, isBehind, mayArrive, note, type World } from './world.js';

/** Tasks per chunk: a whole chunk of places, with the longest names, fits a page of the state service. */
export const CHUNK_TASKS = 40;

/** A chunk as it is written to the state service. */
export interface ChunkImage {
  readonly attempt: number;
  readonly done: readonly number[];
  readonly intents: readonly IntentImage[];
}

export interface IntentImage {
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  readonly session: number;
  readonly zone: string;
}

const newChunk = (job: string, index: number, attempt: number, done: readonly number[]): Chunk => ({
  job,
  index,
  page: null,
  attempt,
  done: new Set(done),
  intents: new Map(),
  version: 0,
  committed: 0,
  image: null,
});

export function chunkOf(job: Job, task: number): Chunk {
  const index = Math.floor(task / CHUNK_TASKS);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = newChunk(job.spec.id, index, 0, []);
    job.chunks.set(index, chunk);
  }
  return chunk;
}

/** A chunk as it stands, made anew only after a change. */
export function image(chunk: Chunk): ChunkImage {
  chunk.image ??= {
    attempt: chunk.attempt,
    done: [...chunk.done].sort((a, b) => a - b),
    intents: [...chunk.intents.values()].map((i) => ({
      task: i.task,
      attempt: i.attempt,
      machine: i.machine,
      session: i.session,
      zone: i.zone,
    })),
  };
  return chunk.image;
}

/**
 * Notes that a chunk has changed. What something waits for is urgent: a new place, or the last result of a job. An
 * ended place may wait a moment for others, since whoever reads the old record only takes more to be possible.
 */
export function touch(w: World, job: Job, chunk: Chunk, urgent: boolean, now: Steady): void {
  w.version += 1;
  chunk.version = w.version;
  chunk.image = null;
  const page = pageFor(w, job, chunk);
  page.version = w.version;
  if (!w.dirty.has(page.id)) w.dirty.set(page.id, now);
  if (urgent) w.urgent.add(page.id);
}

/** Once a job is over, chunks without places need no record: its own key tells how it ended. */
export function closeChunks(job: Job): void {
  if (job.standing === 'open') return;
  for (const chunk of job.chunks.values()) if (chunk.intents.size === 0) leavePage(chunk);
}

/** A job's record as read or followed. New jobs come in; a cancellation stops what may run. */
export function onJob(w: World, id: string, record: JobRecord, stamp: number, now: Now): void {
  const known = w.jobs.get(id);
  if (known === undefined) {
    const job: Job = {
      spec: record.spec,
      submitted: record.submitted,
      standing: record.standing,
      stamp,
      chunks: new Map(),
      doneCount: 0,
      placedCount: 0,
      doneWanted: false,
      failedOn: new Map(),
      failures: 0,
      stops: 0,
      notBefore: 0n,
      free: new Set(),
      arrived: now.steady,
      lostAt: null,
      waitReason: 'new',
      inside: false,
    };
    w.jobs.set(id, job);
    if (record.standing === 'open') {
      w.open.add(id);
      w.rankStale = true;
      for (let t = 0; t < record.spec.tasks; t++) job.free.add(t);
      w.waiting.add(id);
      w.needPass = true;
    }
    return;
  }
  if (stamp <= known.stamp) return;
  known.stamp = stamp;
  if (record.standing === known.standing) return;
  known.standing = record.standing;
  known.free.clear();
  w.waiting.delete(id);
  w.open.delete(id);
  w.rankStale = true;
  closeChunks(known);
  if (record.standing === 'cancelled') {
    note(w, 'job cancelled', { job: id }, 'info');
    stopJob(w, known, 'cancelled', now.steady);
  }
}

/** A page as read when the term began. */
export function onPage(w: World, id: number, entries: readonly PageEntry[], stamp: number, now: Now): void {
  const page: Page = { id, pool: 'passing', stamp, version: 0, committed: 0, chunks: new Set(), used: null };
  w.pages.set(id, page);
  for (const e of entries) onChunk(w, page, e, now);
}

/** A chunk as read when the term began. Its intents are possible places until proven otherwise. */
function onChunk(w: World, page: Page, e: PageEntry, now: Now): void {
  const id = e.job;
  const img = e.image;
  const job = w.jobs.get(id);
  if (job === undefined) return;
  // What a closed job's page still says without places is of no more use.
  if (job.standing !== 'open' && img.intents.length === 0) return;
  const chunk = newChunk(id, e.index, img.attempt, img.done);
  chunk.page = page;
  page.chunks.add(chunk);
  page.pool = job.spec.kind === 'service' ? 'lasting' : 'passing';
  job.chunks.set(e.index, chunk);
  job.doneCount += chunk.done.size;
  for (const t of chunk.done) job.free.delete(t);
  for (const i of img.intents) {
    const intent: Intent = {
      ...i,
      job: id,
      version: 0,
      created: now.steady,
      phase: 'placed',
      stopping: null,
      // It may have been sent by an earlier owner: only proof ends it.
      sentAt: 0,
      sentTime: null,
      runningSince: null,
    };
    chunk.intents.set(i.task, intent);
    job.free.delete(i.task);
    job.placedCount += 1;
    w.quota.take(job.spec);
    const m = machineOf(w, i.machine, now.steady);
    m.intents.set(taskKey(id, i.task), intent);
    m.view = null;
  }
  if (job.free.size === 0) w.waiting.delete(id);
  if (job.standing === 'cancelled') stopJob(w, job, 'cancelled', now.steady);
  if (job.doneCount === job.spec.tasks && job.standing === 'open') wantDone(w, job, now.steady);
}

export function machineOf(w: World, name: string, now: Steady): Machine {
  let m = w.machines.get(name);
  if (m === undefined) {
    m = {
      name,
      endpoint: '',
      type: '',
      zone: '',
      spot: false,
      session: 0,
      seq: 0,
      token: 0,
      notice: null,
      answered: w.othersQuiet,
      heard: 0n,
      arrivedAt: null,
      fenced: false,
      deadSession: 0,
      intents: new Map(),
      seen: new Map(),
      images: new Map(),
      faults: new Map(),
      setAside: false,
      setAsideSince: null,
      idleSince: null,
      listed: null,
      listedAt: null,
      returning: false,
      closed: false,
      firstKnown: now,
      asked: [],
      unheeded: 0,
      unheededAt: 0,
      deafSince: null,
      probedAt: null,
      view: null,
      strays: false,
    };
    w.machines.set(name, m);
    w.longestName = Math.max(w.longestName, encodeURIComponent(name).length);
  }
  return m;
}

export function place(w: World, job: Job, task: number, attempt: number, m: Machine, now: Steady): Intent {
  const chunk = chunkOf(job, task);
  chunk.attempt = Math.max(chunk.attempt, attempt);
  touch(w, job, chunk, true, now);
  const intent: Intent = {
    job: job.spec.id,
    task,
    attempt,
    machine: m.name,
    session: m.session,
    zone: m.zone,
    version: w.version,
    created: now,
    phase: 'placed',
    stopping: null,
    sentAt: null,
    sentTime: null,
    runningSince: null,
  };
  chunk.intents.set(task, intent);
  job.free.delete(task);
  if (job.free.size === 0) w.waiting.delete(job.spec.id);
  job.placedCount += 1;
  w.quota.take(job.spec);
  m.intents.set(taskKey(job.spec.id, task), intent);
  m.view = null;
  m.idleSince = null;
  return intent;
}

/** Ends an intent on proof that the task is not on the machine and cannot come there. */
export function endIntent(w: World, intent: Intent, completed: boolean, why: string, now: Steady): void {
  const job = w.jobs.get(intent.job);
  if (job === undefined) return;
  const chunk = chunkOf(job, intent.task);
  if (chunk.intents.get(intent.task) !== intent) return;
  chunk.intents.delete(intent.task);
  const m = w.machines.get(intent.machine);
  if (m !== undefined) {
    m.intents.delete(taskKey(intent.job, intent.task));
    m.view = null;
  }
  job.placedCount -= 1;
  w.quota.release(job.spec);
  if (completed && !chunk.done.has(intent.task)) {
    chunk.done.add(intent.task);
    job.doneCount += 1;
  } else if (!completed && job.standing === 'open' && !chunk.done.has(intent.task)) {
    job.free.add(intent.task);
    w.waiting.add(intent.job);
    if (job.spec.kind === 'service') job.lostAt = now;
  }
  touch(w, job, chunk, false, now);
  closeChunks(job);
  w.needPass = true;
  note(w, 'place ended', {
    task: taskKey(intent.job, intent.task),
    attempt: intent.attempt,
    machine: intent.machine,
    why,
    ...(intent.runningSince === null
      ? {}
      : { ran: toSeconds(now - intent.runningSince), expected: toSeconds(job.spec.estimate) }),
  });
  if (job.doneCount === job.spec.tasks) wantDone(w, job, now);
}

export function wantDone(w: World, job: Job, now: Steady): void {
  if (job.standing !== 'open' || job.doneWanted || job.spec.kind === 'service') return;
  job.doneWanted = true;
  w.dirtyJobs.set(job.spec.id, now);
  // Its user hears of the end once all results are recorded.
  for (const chunk of job.chunks.values())
    if (chunk.version > chunk.committed && chunk.page !== null) w.urgent.add(chunk.page.id);
}

/**
 * A gang's tasks complete together: once one is done, all are, also one whose machine never came to tell it. Without
 * this a gang whose last member was lost with its machine waited for ever, neither done nor placed again.
 */
export function finishGang(w: World, job: Job, now: Steady): void {
  for (const task of [...job.free]) {
    const chunk = chunkOf(job, task);
    job.free.delete(task);
    chunk.done.add(task);
    job.doneCount += 1;
    touch(w, job, chunk, true, now);
  }
  w.waiting.delete(job.spec.id);
  if (job.doneCount === job.spec.tasks) wantDone(w, job, now);
}

/** An intent of this term whose `run` never left can be ended at once: nobody else could have sent it. */
export const neverSent = (w: World, i: Intent): boolean => i.sentAt === null && !mayArrive(w, i);

export function stopIntent(w: World, intent: Intent, grace: number, why: string, now: Steady): void {
  if (neverSent(w, intent)) {
    endIntent(w, intent, false, `never sent: ${why}`, now);
    return;
  }
  if (intent.stopping !== null && intent.stopping.grace <= grace) return;
  intent.stopping = { grace, why, since: now };
  const m = w.machines.get(intent.machine);
  if (m !== undefined) m.view = null;
  if (m === undefined || m.session !== intent.session || !m.fenced) return;
  // The answer to its next report carries it too.
  if (isBehind(w)) return;
  w.effects.push({
    kind: 'direct',
    machine: m.name,
    session: m.session,
    orders: [{ op: 'stop', job: intent.job, task: intent.task, attempt: intent.attempt, grace }],
  });
}

export function stopJob(w: World, job: Job, why: string, now: Steady, grace = 0): void {
  for (const chunk of job.chunks.values())
    for (const intent of [...chunk.intents.values()]) stopIntent(w, intent, grace, why, now);
}

export function intentsOf(job: Job): Intent[] {
  const out: Intent[] = [];
  for (const chunk of job.chunks.values()) out.push(...chunk.intents.values());
  return out;
}

/** How many tasks may be in each zone now, by recorded intents. */
export function zonesTaken(job: Job): Map<string, number> {
  const taken = new Map<string, number>();
  for (const chunk of job.chunks.values())
    for (const i of chunk.intents.values()) taken.set(i.zone, (taken.get(i.zone) ?? 0) + 1);
  return taken;
}

export const isCommitted = (job: Job, i: Intent): boolean => chunkOf(job, i.task).committed >= i.version;

/** Remembers that an exited task is to be forgotten once its result is committed. */
export function wantForget(
  w: World,
  machine: string,
  job: string,
  task: number,
  attempt: number,
  now: Steady,
): void {
  const known = w.jobs.get(job);
  const chunk = known === undefined ? undefined : known.chunks.get(Math.floor(task / CHUNK_TASKS));
  const key = taskKey(job, task);
  const map = inner(w.forgets, machine);
  if (map.get(key)?.attempt === attempt) return;
  map.set(key, { job, task, attempt, index: chunk?.index ?? null, version: chunk?.version ?? 0, since: now });
}
