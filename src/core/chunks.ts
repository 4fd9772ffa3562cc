/** @file Runs of a job's tasks that are recorded together. */
import type { ClusterState } from './cluster-state.js';
import type { Chunk, Intent, Job } from './model.js';
import { leavePage, pageFor } from './record-pages.js';
import type { Steady } from './time.js';

/** Tasks per chunk: a whole chunk of places, with the longest names, fits a page of the state service. */
export const CHUNK_TASKS = 40;

/** A chunk as it is written to the state service. */
export interface ChunkRecord {
  readonly attempt: number;
  readonly done: readonly number[];
  readonly intents: readonly IntentRecord[];
}

/** One recorded place of a task. */
export interface IntentRecord {
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  readonly session: number;
  readonly zone: string;
}

/** A chunk with nothing placed yet. */
export const newChunk = (job: string, index: number, attempt: number, done: readonly number[]): Chunk => ({
  job,
  index,
  page: null,
  attempt,
  done: new Set(done),
  intents: new Map(),
  version: 0,
  committed: 0,
  record: null,
});

/** The chunk that records a task, made when it is first needed. */
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
export function recordOf(chunk: Chunk): ChunkRecord {
  chunk.record ??= {
    attempt: chunk.attempt,
    done: [...chunk.done].sort((a, b) => a - b),
    intents: [...chunk.intents.values()].map((intent) => ({
      task: intent.task,
      attempt: intent.attempt,
      machine: intent.machine,
      session: intent.session,
      zone: intent.zone,
    })),
  };
  return chunk.record;
}

/**
 * Notes that a chunk has changed. What something waits for is urgent: a new place, or the last result of a job. An
 * ended place may wait a moment for others, since whoever reads the old record only takes more to be possible.
 */
export function markChanged(state: ClusterState, job: Job, chunk: Chunk, urgent: boolean, now: Steady): void {
  state.version += 1;
  chunk.version = state.version;
  chunk.record = null;
  const page = pageFor(state, job, chunk);
  page.version = state.version;
  if (!state.dirty.has(page.id)) state.dirty.set(page.id, now);
  if (urgent) state.urgent.add(page.id);
}

/** Once a job is over, chunks without places need no record: its own key tells how it ended. */
export function closeChunks(job: Job): void {
  if (job.standing === 'open') return;
  for (const chunk of job.chunks.values()) if (chunk.intents.size === 0) leavePage(chunk);
}

/** Whether the record that holds the intent is committed. */
export const isCommitted = (job: Job, intent: Intent): boolean =>
  chunkOf(job, intent.task).committed >= intent.version;
