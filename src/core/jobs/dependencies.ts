/** @file Jobs that wait for jobs, as the owner sees them: when they become ready, and what they pass on. */
import { releaseFinishedChunks } from '../records/record-pages.js';
import { markJobFinished } from '../state/job-table.js';
import { emitLog } from '../state/log-effects.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { GraphChange } from '../state/dependency-graph.js';
import { priorityRank, type Job, type Priority } from '../model/job.js';
import { toSeconds, type Timestamp } from '../model/time.js';
import { estimatedSeconds } from './deadline-slack.js';

/** Takes in an unfinished job: it may be placed at once, or once the last job that it needs is committed as done. */
export function registerJob(state: ClusterState, job: Job, now: Timestamp): void {
  const { id, dependencies } = job.spec;
  if (job.spec.deadline !== null)
    state.jobs.deadlines.set(id, job.submittedAt.getTime() / 1000 + toSeconds(job.spec.deadline));
  inherit(state, job);
  if (dependencies.length === 0) return makeReady(state, job, job.submittedAt);
  job.readySince = null;
  job.pendingReason = 'waits for other jobs';
  apply(state, state.jobs.dependencies.add(id, dependencies), now);
}

/** Takes in that a job has ended, as committed. */
export function onJobFinished(
  state: ClusterState,
  id: string,
  status: 'done' | 'cancelled',
  now: Timestamp,
): void {
  state.jobs.deadlines.delete(id);
  const job = state.jobs.byId.get(id);
  apply(state, state.jobs.dependencies.markFinished(id, status), now);
  if (status === 'cancelled' && job !== undefined) withdrawUrgency(state, job);
}

function apply(state: ClusterState, change: GraphChange, now: Timestamp): void {
  for (const id of change.ready) {
    const job = state.jobs.byId.get(id);
    if (job !== undefined && job.status === 'open') makeReady(state, job, now.wall);
  }
  for (const id of change.cancelled) cancelThrough(state, id, now);
}

function makeReady(state: ClusterState, job: Job, since: Date): void {
  const { id } = job.spec;
  job.readySince = since;
  job.pendingReason = 'new';
  state.jobs.active.add(id);
  state.jobs.fairSharesStale = true;
  if (job.unassignedTasks.size > 0) state.jobs.pending.add(id);
  state.scheduling.cycleNeeded = true;
}

/**
 * A job that it needs was cancelled: it never runs. That holds by that job's record alone; its own is written later, so
 * that it need not be kept whole for good.
 */
function cancelThrough(state: ClusterState, id: string, now: Timestamp): void {
  const job = state.jobs.byId.get(id);
  state.jobs.deadlines.delete(id);
  if (job === undefined || job.status !== 'open') return;
  markJobFinished(state.jobs, job, 'cancelled', now.monotonic);
  state.records.unrecordedCancellations.add(id);
  releaseFinishedChunks(job);
  emitLog(state, 'job cancelled: a job that it needs was', { job: id }, 'info');
  withdrawUrgency(state, job);
}

/** What a job passes on to those that it needs. */
interface Urgency {
  readonly priority: Priority;
  /** Seconds of wall time by which it should be done at the latest. */
  readonly latestEnd: number;
}

const ownUrgency = (job: Job): Urgency => ({
  priority: job.spec.priority,
  latestEnd:
    job.spec.deadline === null ? Infinity : job.submittedAt.getTime() / 1000 + toSeconds(job.spec.deadline),
});

/** What a job takes from its dependents: the highest priority, and the end that leaves each of them its time. */
function urgencyOf(state: ClusterState, job: Job): Urgency {
  let { priority, latestEnd } = ownUrgency(job);
  for (const id of state.jobs.dependencies.dependentsOf(job.spec.id)) {
    const dependent = state.jobs.byId.get(id);
    if (dependent === undefined || dependent.status !== 'open') continue;
    if (priorityRank(dependent.priority) > priorityRank(priority)) priority = dependent.priority;
    latestEnd = Math.min(latestEnd, dependent.latestCompletion - estimatedSeconds(state, dependent));
  }
  return { priority, latestEnd };
}

/** A job came: it takes what is known of its dependents, and what it needs takes from it, back along the pipeline. */
function inherit(state: ClusterState, job: Job): void {
  const { priority, latestEnd } = urgencyOf(state, job);
  job.priority = priority;
  job.latestCompletion = latestEnd;
  const stack = [job];
  for (let next = stack.pop(); next !== undefined; next = stack.pop())
    for (const id of next.spec.dependencies) {
      const needed = state.jobs.byId.get(id);
      if (needed === undefined || needed.status !== 'open') continue;
      const end = next.latestCompletion - estimatedSeconds(state, next);
      if (priorityRank(next.priority) <= priorityRank(needed.priority) && end >= needed.latestCompletion)
        continue;
      if (priorityRank(next.priority) > priorityRank(needed.priority)) needed.priority = next.priority;
      needed.latestCompletion = Math.min(needed.latestCompletion, end);
      stack.push(needed);
    }
}

/** A dependent is gone: what it passed on goes too. */
function withdrawUrgency(state: ClusterState, job: Job): void {
  const stack = [job];
  for (let next = stack.pop(); next !== undefined; next = stack.pop())
    for (const id of next.spec.dependencies) {
      const needed = state.jobs.byId.get(id);
      if (needed === undefined || needed.status !== 'open') continue;
      const { priority, latestEnd } = urgencyOf(state, needed);
      if (priority === needed.priority && latestEnd === needed.latestCompletion) continue;
      needed.priority = priority;
      needed.latestCompletion = latestEnd;
      stack.push(needed);
    }
}

/** Tells once of each unfinished job whose deadline has passed. */
export function logMissedDeadlines(state: ClusterState, now: Timestamp): void {
  for (const [id, by] of state.jobs.deadlines) {
    if (now.wall.getTime() / 1000 <= by) continue;
    state.jobs.deadlines.delete(id);
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    const { status, pendingReason: waitReason, completedCount: doneCount } = job;
    const about = { job: id, class: job.spec.class, tasks: job.spec.taskCount, done: doneCount };
    const waits = status === 'open' && job.assignedCount === 0 ? { because: waitReason } : {};
    emitLog(state, 'deadline missed', { ...about, ...waits }, 'info');
  }
}
