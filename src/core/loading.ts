/** @file Jobs and records as they are read from the state service. */
import { closeChunks, newChunk } from './chunks.js';
import { type ClusterState, emitLog } from './cluster-state.js';
import { addDependent, onJobEnded } from './dependencies.js';
import { stopJob, wantDone } from './intents.js';
import { machineOf } from './machine-registry.js';
import { type Intent, type Job, type JobRecord, type Page, taskKey } from './model.js';
import type { PageEntry } from './record-pages.js';
import type { Now } from './time.js';

/** A job's record as read or followed. New jobs come in; a cancellation stops what may run. */
export function onJob(state: ClusterState, id: string, record: JobRecord, stamp: number, now: Now): void {
  const known = state.jobs.get(id);
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
      since: record.submitted,
      priority: record.spec.priority,
      latestEnd: Infinity,
    };
    state.jobs.set(id, job);
    if (record.standing === 'open') {
      for (let t = 0; t < record.spec.tasks; t++) job.free.add(t);
      addDependent(state, job, now);
    } else {
      state.closed.set(id, now.steady);
      onJobEnded(state, id, record.standing, now);
    }
    return;
  }
  if (stamp <= known.stamp) return;
  known.stamp = stamp;
  if (record.standing !== 'open') state.unrecordedCancellations.delete(id);
  if (record.standing === known.standing) return;
  known.standing = record.standing;
  known.free.clear();
  state.waiting.delete(id);
  state.open.delete(id);
  state.closed.set(id, now.steady);
  state.rankStale = true;
  closeChunks(known);
  if (record.standing !== 'open') onJobEnded(state, id, record.standing, now);
  if (record.standing === 'cancelled') {
    emitLog(state, 'job cancelled', { job: id }, 'info');
    stopJob(state, known, 'cancelled', now.steady);
  }
}

/** A page as read when the term began. */
export function onPage(
  state: ClusterState,
  id: number,
  entries: readonly PageEntry[],
  stamp: number,
  now: Now,
): void {
  const page: Page = { id, pool: 'passing', stamp, version: 0, committed: 0, chunks: new Set(), used: null };
  state.pages.set(id, page);
  for (const entry of entries) onChunk(state, page, entry, now);
}

/** A chunk as read when the term began. Its intents are possible places until proven otherwise. */
function onChunk(state: ClusterState, page: Page, entry: PageEntry, now: Now): void {
  const id = entry.job;
  const img = entry.record;
  const job = state.jobs.get(id);
  if (job === undefined) return;
  // What a closed job's page still says without places is of no more use.
  if (job.standing !== 'open' && img.intents.length === 0) return;
  const chunk = newChunk(id, entry.index, img.attempt, img.done);
  chunk.page = page;
  page.chunks.add(chunk);
  page.pool = job.spec.kind === 'service' ? 'lasting' : 'passing';
  job.chunks.set(entry.index, chunk);
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
    state.quota.take(job.spec);
    const machine = machineOf(state, i.machine, now.steady);
    machine.intents.set(taskKey(id, i.task), intent);
    machine.view = null;
  }
  if (job.free.size === 0) state.waiting.delete(id);
  if (job.standing === 'cancelled') stopJob(state, job, 'cancelled', now.steady);
  if (job.doneCount === job.spec.tasks && job.standing === 'open') wantDone(state, job, now.steady);
}
