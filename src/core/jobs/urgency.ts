/**
 * @file Priorities and deadlines that jobs pass on to their dependencies, back along the pipeline: the last job of a
 * pipeline alone carries the priority and the deadline that its user cares about.
 */
import { type Job, type Priority, priorityRank } from '../model/job.js';
import { toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { estimatedSeconds } from './deadline-slack.js';

/** What a job has itself, or takes from its dependents. */
interface Urgency {
  readonly priority: Priority;
  /** Seconds of wall time by which it should be done at the latest. */
  readonly latestCompletion: number;
}

/** The job's own deadline in seconds of wall time; infinite without one. */
export const ownDeadline = ({ spec, submittedAt }: Job): number =>
  spec.deadline === null ? Infinity : submittedAt.getTime() / 1000 + toSeconds(spec.deadline);

const higherPriority = (first: Priority, second: Priority): Priority =>
  priorityRank(second) > priorityRank(first) ? second : first;

/** The completion of a dependency that leaves its dependent the time to run. */
const latestDependencyCompletion = (state: ClusterState, dependent: Job): number =>
  dependent.latestCompletion - estimatedSeconds(state, dependent);

/** A job's own urgency, joined with that of its known dependents. */
function urgencyOf(state: ClusterState, job: Job): Urgency {
  let priority = job.spec.priority;
  let latestCompletion = ownDeadline(job);
  for (const id of state.jobs.dependencies.dependentsOf(job.spec.id)) {
    const dependent = state.jobs.byId.get(id);
    if (dependent === undefined || dependent.status !== 'open') continue;
    priority = higherPriority(priority, dependent.priority);
    latestCompletion = Math.min(latestCompletion, latestDependencyCompletion(state, dependent));
  }
  return { priority, latestCompletion };
}

/** Sets a job's urgency; whether that has changed it. */
function setUrgency(job: Job, { priority, latestCompletion }: Urgency): boolean {
  if (priority === job.priority && latestCompletion === job.latestCompletion) return false;
  job.priority = priority;
  job.latestCompletion = latestCompletion;
  return true;
}

/** A job was added: it takes its dependents' urgency, and its dependencies take its own. */
export function inheritUrgency(state: ClusterState, job: Job): void {
  setUrgency(job, urgencyOf(state, job));
  updateDependencies(state, job, (dependency, dependent) => ({
    priority: higherPriority(dependency.priority, dependent.priority),
    latestCompletion: Math.min(dependency.latestCompletion, latestDependencyCompletion(state, dependent)),
  }));
}

/** A job was cancelled: its dependencies lose what they had from it. */
export function withdrawUrgency(state: ClusterState, job: Job): void {
  updateDependencies(state, job, (dependency) => urgencyOf(state, dependency));
}

/** Updates the open dependencies of a job, and those of each dependency that changed. */
function updateDependencies(
  state: ClusterState,
  job: Job,
  urgencyFor: (dependency: Job, dependent: Job) => Urgency,
): void {
  const changed = [job];
  for (let dependent = changed.pop(); dependent !== undefined; dependent = changed.pop())
    for (const id of dependent.spec.dependencies) {
      const dependency = state.jobs.byId.get(id);
      if (dependency === undefined || dependency.status !== 'open') continue;
      if (setUrgency(dependency, urgencyFor(dependency, dependent))) changed.push(dependency);
    }
}
