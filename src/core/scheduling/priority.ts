/** @file The strict order among jobs, by priority and fair share, and which jobs may preempt which others. */
import type { ClusterConfig, Team } from '../model/cluster-config.js';
import { type Job, priorityRank } from '../model/job.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';

const PRODUCTION_PRIORITY = 1000;

/** Higher than all ranks of the priorities below production. */
const FAIR_SHARE_BONUS = 10;

/**
 * Returns the scheduling priority of a job. It gives pending and running jobs one strict order, so that two jobs can
 * never preempt each other in turn: production jobs come first, then jobs within their team's fair share, then jobs on
 * borrowed capacity; within each group they are ordered by priority.
 */
export function schedulingPriority(job: Job): number {
  if (job.priority === 'production') return PRODUCTION_PRIORITY;
  return (job.withinFairShare ? FAIR_SHARE_BONUS : 0) + priorityRank(job.priority);
}

/**
 * Updates which active jobs are within their team's fair share. A job is within it if its tasks and those of the team's
 * active jobs that were submitted before it fit the share together.
 */
export function updateFairShares(state: ClusterState): void {
  for (const [teamName, jobs] of activeJobsByTeam(state)) {
    const team = findTeam(state.config, teamName);
    jobs.sort(compareSubmitted);
    let cpus = 0;
    let gpus = 0;
    for (const job of jobs) {
      cpus += job.spec.cpus * job.spec.taskCount;
      gpus += job.spec.gpus * job.spec.taskCount;
      job.withinFairShare = team !== undefined && isWithinFairShare(team, cpus, gpus);
    }
  }
}

function activeJobsByTeam(state: ClusterState): Map<string, Job[]> {
  const byTeam = new Map<string, Job[]>();
  for (const id of state.jobs.active) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    const jobs = byTeam.get(job.spec.team);
    if (jobs === undefined) byTeam.set(job.spec.team, [job]);
    else jobs.push(job);
  }
  return byTeam;
}

const findTeam = (config: ClusterConfig, name: string): Team | undefined =>
  config.teams.find((team) => team.name === name);

const compareSubmitted = (left: Job, right: Job): number =>
  left.submittedAt.getTime() - right.submittedAt.getTime() || (left.spec.id < right.spec.id ? -1 : 1);

/**
 * Whether the amounts fit the team's fair share. A share of 0 means that none is set for that resource, which then
 * does not limit the team; a team without any share borrows all its capacity.
 */
const isWithinFairShare = (team: Team, cpus: number, gpus: number): boolean =>
  (team.fairShareCpus > 0 || team.fairShareGpus > 0) &&
  (team.fairShareCpus <= 0 || cpus <= team.fairShareCpus + RESOURCE_EPSILON) &&
  (team.fairShareGpus <= 0 || gpus <= team.fairShareGpus + RESOURCE_EPSILON);

/**
 * Whether a blocked job may preempt a victim. A victim of equal or higher priority is preempted only for a job of
 * another team that is within its fair share, and only if the victim is not within its own.
 */
export function mayPreempt(job: Job, victim: Job): boolean {
  if (schedulingPriority(job) <= schedulingPriority(victim)) return false;
  return priorityRank(victim.priority) < priorityRank(job.priority) || victim.spec.team !== job.spec.team;
}
