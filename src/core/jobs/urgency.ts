/**
 * @file Propagates priorities and deadlines from jobs back to their dependencies, because only the last job of a
 * pipeline carries the priority and the deadline that matter to its user.
 */
import { type Job, type Priority, priorityRank } from '../model/job.js';
import { toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { estimatedSeconds } from './deadline-slack.js';

/** The priority and the latest completion of a job, its own or inherited from its dependents. */
interface Urgency {
  readonly priority: Priority;
  /** Wall time, in seconds, by which the job should be done at the latest. */
  readonly latestCompletion: number;
}

/** Returns the job's own deadline as wall time in seconds, or Infinity if it has none. */
export const ownDeadline = ({ spec, submittedAt }: Job): number =>
  spec.deadline === null ? Infinity : submittedAt.getTime() / 1000 + toSeconds(spec.deadline);

const higherPriority = (first: Priority, second: Priority): Priority =>
  priorityRank(second) > priorityRank(first) ? second : first;

/**
 * Returns the latest completion of a dependency, as wall time in seconds, that leaves its dependent enough time to run.
 */
const latestDependencyCompletion = (state: ClusterState, dependent: Job): number =>
  dependent.latestCompletion - estimatedSeconds(state, dependent);

/** Returns a job's own urgency combined with that of its known open dependents. */
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

/** Sets a job's urgency. Returns whether it changed. */
function setUrgency(job: Job, { priority, latestCompletion }: Urgency): boolean {
  if (priority === job.priority && latestCompletion === job.latestCompletion) return false;
  job.priority = priority;
  job.latestCompletion = latestCompletion;
  return true;
}

/**
 * Propagates urgency after a job was added: the job inherits from its dependents, and its dependencies inherit from it.
 */
export function propagateUrgency(state: ClusterState, job: Job): void {
  setUrgency(job, urgencyOf(state, job));
  updateDependencies(state, job, (dependency, dependent) => ({
    priority: higherPriority(dependency.priority, dependent.priority),
    latestCompletion: Math.min(dependency.latestCompletion, latestDependencyCompletion(state, dependent)),
  }));
}

/** Removes the urgency that the dependencies of a cancelled job inherited from it. */
export function removeInheritedUrgency(state: ClusterState, job: Job): void {
  updateDependencies(state, job, (dependency) => urgencyOf(state, dependency));
}

/** Updates the urgency of a job's open dependencies, and of the open dependencies of each one that changed. */
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
