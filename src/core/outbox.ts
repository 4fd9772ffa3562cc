import { image, type ChunkImage } from './jobs.js';
import type { Job } from './model.js';
import type { World } from './world.js';

/**
 * The owner's writes to the state service. Changes pile up per chunk and go out together, one transaction at a time;
 * each is guarded by the part's stamp (we are still the owner), the job's (a cancellation beats a start in flight)
 * and the chunk's (a repeat of a transaction that was carried out after all changes nothing).
 */
export interface ChunkWrite {
  readonly job: string;
  readonly index: number;
  readonly stamp: number;
  readonly version: number;
  readonly image: ChunkImage;
}

export interface Transaction {
  readonly token: number;
  readonly jobs: ReadonlyMap<string, number>;
  readonly chunks: readonly ChunkWrite[];
  readonly done: readonly string[];
}

const hasDirtyChunk = (w: World, job: Job, but: ReadonlySet<string>): boolean => {
  for (const index of job.chunks.keys()) {
    const key = `${job.spec.id}/${index}`;
    if (w.dirty.has(key) && !but.has(key)) return true;
  }
  return false;
};

/** The next transaction, or null when nothing waits. What it holds stays dirty until `settled` or `conflicted`. */
export function nextTransaction(w: World): Transaction | null {
  if (w.dirty.size === 0 && w.dirtyJobs.size === 0) return null;
  const chunks: ChunkWrite[] = [];
  const jobs = new Map<string, number>();
  const taken = new Set<string>();
  for (const [key, d] of w.dirty) {
    if (chunks.length >= w.facts.txnOps) break;
    const job = w.jobs.get(d.job);
    const chunk = job?.chunks.get(d.index);
    if (job === undefined || chunk === undefined) continue;
    chunks.push({
      job: d.job,
      index: d.index,
      stamp: chunk.stamp,
      version: chunk.version,
      image: image(chunk),
    });
    jobs.set(d.job, job.stamp);
    taken.add(key);
  }
  const done: string[] = [];
  for (const id of w.dirtyJobs) {
    if (chunks.length + done.length >= w.facts.txnOps) break;
    const job = w.jobs.get(id);
    // "Done" is told once committed, and it must not be committed ahead of the results that make it true.
    if (job === undefined || job.standing !== 'open' || hasDirtyChunk(w, job, taken)) continue;
    done.push(id);
    jobs.set(id, job.stamp);
  }
  if (chunks.length === 0 && done.length === 0) return null;
  return { token: w.token, jobs, chunks, done };
}

export function settled(w: World, t: Transaction, stamp: number): void {
  for (const c of t.chunks) {
    const chunk = w.jobs.get(c.job)?.chunks.get(c.index);
    if (chunk === undefined) continue;
    chunk.stamp = stamp;
    chunk.committed = Math.max(chunk.committed, c.version);
    const key = `${c.job}/${c.index}`;
    w.dirty.delete(key);
    if (chunk.version > chunk.committed) w.dirty.set(key, { job: c.job, index: c.index });
  }
  for (const id of t.done) {
    const job = w.jobs.get(id);
    if (job === undefined) continue;
    job.standing = 'done';
    job.stamp = Math.max(job.stamp, stamp);
    w.dirtyJobs.delete(id);
    job.free.clear();
    w.waiting.delete(id);
  }
}
