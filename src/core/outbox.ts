import { closeChunks, image } from './jobs.js';
import type { Chunk, Job } from './model.js';
import { entriesOf, type PageEntry } from './pages.js';
import { seconds, type Steady } from './time.js';
import type { World } from './world.js';

/**
 * The owner's writes to the state service. Changes pile up per page and go out together, one transaction at a time;
 * each is guarded by the part's stamp (we are still the owner), the stamps of the jobs that get places (a cancellation
 * beats a start in flight) and the page's (a repeat of a transaction that was carried out after all changes nothing).
 */
export interface PageWrite {
  readonly id: number;
  readonly stamp: number;
  readonly version: number;
  readonly entries: readonly PageEntry[];
  readonly chunks: readonly Chunk[];
}

export interface Transaction {
  readonly token: number;
  /** Jobs whose stamps are guarded. */
  readonly jobs: ReadonlyMap<string, number>;
  readonly pages: readonly PageWrite[];
  readonly done: readonly string[];
}

/**
 * Ended places wait this long for company: nobody waits for them, and each write of a page costs a change. Where more
 * pages change than fit one transaction they wait longer, so that what is waited for is not behind them.
 */
const company = (w: World): Steady =>
  seconds(1) * BigInt(Math.max(1, Math.ceil(w.dirty.size / w.facts.txnOps)));

const unrecorded = (job: Job, but: ReadonlySet<number>): boolean => {
  for (const c of job.chunks.values())
    if (c.version > c.committed && (c.page === null || !but.has(c.page.id))) return true;
  return false;
};

/** Jobs with places in the page that are not recorded yet. */
function startingIn(w: World, id: number): Job[] {
  const out: Job[] = [];
  for (const chunk of w.pages.get(id)?.chunks ?? []) {
    if (chunk.version <= chunk.committed) continue;
    const job = w.jobs.get(chunk.job);
    if (job === undefined || job.standing !== 'open') continue;
    for (const i of chunk.intents.values())
      if (i.version > chunk.committed) {
        out.push(job);
        break;
      }
  }
  return out;
}

/** Adds jobs that are done, up to `most` changes in all. */
function finishing(
  w: World,
  most: number,
  taken: ReadonlySet<number>,
  jobs: Map<string, number>,
  done: string[],
  ids: readonly number[],
): void {
  for (const id of w.dirtyJobs.keys()) {
    if (ids.length + done.length >= most || ids.length + jobs.size + 1 >= 4 * w.facts.txnOps) return;
    const job = w.jobs.get(id);
    if (job === undefined || job.standing !== 'open' || done.includes(id) || unrecorded(job, taken)) continue;
    done.push(id);
    jobs.set(id, job.stamp);
  }
}

/** The next transaction, or null when nothing waits. What it holds stays dirty until `settled`. */
export function nextTransaction(w: World, now: Steady): Transaction | null {
  const ops = w.facts.txnOps;
  const guards = 4 * ops - 1;
  const ids: number[] = [];
  const taken = new Set<number>();
  const jobs = new Map<string, number>();
  const done: string[] = [];
  // "Done" is told once committed, and it must not be committed ahead of the results that make it true. Jobs whose
  // results are recorded come first: behind the pages they would wait as long as pages go on changing.
  finishing(w, ops / 2, taken, jobs, done, ids);
  const order = [...w.urgent];
  const wait = company(w);
  for (const [id, since] of w.dirty) if (now - since >= wait && !w.urgent.has(id)) order.push(id);
  for (const id of order) {
    if (ids.length + done.length >= ops) break;
    const starting = startingIn(w, id).filter((j) => !jobs.has(j.spec.id));
    if (ids.length + 1 + jobs.size + starting.length > guards) continue;
    for (const j of starting) jobs.set(j.spec.id, j.stamp);
    ids.push(id);
    taken.add(id);
  }
  finishing(w, ops, taken, jobs, done, ids);
  if (ids.length === 0 && done.length === 0) return null;
  const pages: PageWrite[] = [];
  for (const id of ids) {
    const page = w.pages.get(id);
    if (page === undefined) continue;
    pages.push({
      id,
      stamp: page.stamp,
      version: page.version,
      entries: entriesOf(page, image),
      chunks: [...page.chunks],
    });
  }
  return { token: w.token, jobs, pages, done };
}

export function settled(w: World, t: Transaction, stamp: number): void {
  for (const p of t.pages) {
    const page = w.pages.get(p.id);
    if (page === undefined) continue;
    page.stamp = stamp;
    page.committed = Math.max(page.committed, p.version);
    const since = w.dirty.get(p.id);
    w.dirty.delete(p.id);
    w.urgent.delete(p.id);
    if (page.version > page.committed) w.dirty.set(p.id, since ?? 0n);
    for (const c of p.chunks) c.committed = Math.max(c.committed, p.version);
    if (page.version > page.committed && stillUrgent(w, p.id)) w.urgent.add(p.id);
  }
  for (const id of t.done) {
    const job = w.jobs.get(id);
    if (job === undefined) continue;
    job.standing = 'done';
    job.stamp = Math.max(job.stamp, stamp);
    w.dirtyJobs.delete(id);
    job.free.clear();
    w.waiting.delete(id);
    w.open.delete(id);
    w.rankStale = true;
    closeChunks(job);
  }
}

/** What changed while the transaction was under way may be something that is waited for. */
function stillUrgent(w: World, id: number): boolean {
  if (startingIn(w, id).length > 0) return true;
  for (const c of w.pages.get(id)?.chunks ?? [])
    if (c.version > c.committed && w.dirtyJobs.has(c.job)) return true;
  return false;
}
