/** @file The strict order among jobs: priorities and guarantees. */
import type { ClusterState } from '../state/cluster-state.js';
import { type Job, priorityRank } from '../model/job.js';

/**
 * Levels give waiting and running work one strict order, so that two jobs can never take each other's place in turn:
 * production first, then work inside its team's guarantee, then borrowed work; by priority within each.
 */
export function schedulingPriority(job: Job): number {
  if (job.priority === 'production') return 1000;
  return (job.withinFairShare ? 10 : 0) + priorityRank(job.priority);
}

/** A job is inside the guarantee if it fits there together with its team's earlier unfinished jobs. */
export function updateFairShares(state: ClusterState): void {
  const byTeam = new Map<string, Job[]>();
  for (const id of state.jobs.active) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    const list = byTeam.get(job.spec.team) ?? [];
    list.push(job);
    byTeam.set(job.spec.team, list);
  }
  for (const [name, jobs] of byTeam) {
    const team = state.config.teams.find((team) => team.name === name);
    jobs.sort(
      (a, b) => a.submittedAt.getTime() - b.submittedAt.getTime() || (a.spec.id < b.spec.id ? -1 : 1),
    );
    let cpus = 0;
    let gpus = 0;
    for (const job of jobs) {
      cpus += job.spec.cpus * job.spec.taskCount;
      gpus += job.spec.gpus * job.spec.taskCount;
      job.withinFairShare =
        team !== undefined &&
        (team.fairShareCpus > 0 || team.fairShareGpus > 0) &&
        (team.fairShareCpus <= 0 || cpus <= team.fairShareCpus + 1e-6) &&
        (team.fairShareGpus <= 0 || gpus <= team.fairShareGpus + 1e-6);
    }
  }
}

/** Whether the blocked job may take the victim's place. Equal or higher priority gives way only to a guarantee. */
export function mayPreempt(job: Job, victim: Job): boolean {
  if (schedulingPriority(job) <= schedulingPriority(victim)) return false;
  return priorityRank(victim.priority) < priorityRank(job.priority) || victim.spec.team !== job.spec.team;
}
