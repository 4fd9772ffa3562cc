/** @file The strict order among jobs: priorities and guarantees. */
import type { ClusterState } from './cluster-state.js';
import { type Job, rank } from './model.js';

/**
 * Levels give waiting and running work one strict order, so that two jobs can never take each other's place in turn:
 * production first, then work inside its team's guarantee, then borrowed work; by priority within each.
 */
export function level(job: Job): number {
  if (job.priority === 'production') return 1000;
  return (job.inside ? 10 : 0) + rank(job.priority);
}

/** A job is inside the guarantee if it fits there together with its team's earlier unfinished jobs. */
export function markGuarantees(state: ClusterState): void {
  const byTeam = new Map<string, Job[]>();
  for (const id of state.open) {
    const job = state.jobs.get(id);
    if (job === undefined) continue;
    const list = byTeam.get(job.spec.team) ?? [];
    list.push(job);
    byTeam.set(job.spec.team, list);
  }
  for (const [name, jobs] of byTeam) {
    const team = state.facts.teams.find((team) => team.name === name);
    jobs.sort((a, b) => a.submitted.getTime() - b.submitted.getTime() || (a.spec.id < b.spec.id ? -1 : 1));
    let cpus = 0;
    let gpus = 0;
    for (const job of jobs) {
      cpus += job.spec.cpus * job.spec.tasks;
      gpus += job.spec.gpus * job.spec.tasks;
      job.inside =
        team !== undefined &&
        (team.cpus > 0 || team.gpus > 0) &&
        (team.cpus <= 0 || cpus <= team.cpus + 1e-6) &&
        (team.gpus <= 0 || gpus <= team.gpus + 1e-6);
    }
  }
}

/** Whether the blocked job may take the victim's place. Equal or higher priority gives way only to a guarantee. */
export function mayTake(job: Job, victim: Job): boolean {
  if (level(job) <= level(victim)) return false;
  return rank(victim.priority) < rank(job.priority) || victim.spec.team !== job.spec.team;
}
