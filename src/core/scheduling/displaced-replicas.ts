/**
 * @file Reserves capacity in the remaining zones for service replicas whose zone may be lost. The capacity is only
 * withheld from jobs of lower priority; the service replicas start elsewhere only once it is proven that they no longer
 * run.
 */
import { assignmentsByZone } from '../assignments/assignments.js';
import { isResponsive, zoneOf } from '../machines/responsiveness.js';
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { fits, subtractResources } from '../model/resources.js';
import type { Timestamp } from '../model/time.js';
import { chunkIndexOf } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';
import { isMachineAllowed, isZoneAllowed } from './placement-constraints.js';

/** Service replicas of one job that may have to start elsewhere, because the zone of their machines may be lost. */
export interface DisplacedReplicas {
  readonly job: Job;
  readonly tasks: ReadonlySet<number>;
}

/** Returns the service replicas on unresponsive machines of zones that may be lost, grouped by job. */
export function displacedReplicas(state: ClusterState, now: Timestamp): DisplacedReplicas[] {
  const policy = state.zonePolicy;
  if (policy === null) return [];
  const tasksByJob = new Map<Job, Set<number>>();
  for (const machine of state.machines.byName.values()) {
    if (!policy.isEvacuating(zoneOf(machine)) || isResponsive(state.config, machine, now)) continue;
    for (const assignment of machine.assignments.values()) addReplica(state, tasksByJob, assignment);
  }
  return [...tasksByJob].map(([job, tasks]) => ({ job, tasks }));
}

function addReplica(state: ClusterState, tasksByJob: Map<Job, Set<number>>, assignment: Assignment): void {
  const job = state.jobs.byId.get(assignment.jobId);
  if (job === undefined || job.spec.kind !== 'service' || job.status !== 'open') return;
  const tasks = tasksByJob.get(job);
  if (tasks === undefined) tasksByJob.set(job, new Set([assignment.taskIndex]));
  else tasks.add(assignment.taskIndex);
}

/** Reserves capacity in the remaining zones for as many of the service replicas as fit. */
export function reserveForDisplaced(
  displaced: readonly DisplacedReplicas[],
  candidates: readonly Candidate[],
): void {
  for (const { job, tasks } of displaced) {
    const tasksByZone = assignmentsByZone(job);
    for (const task of tasks) {
      const currentZone = assignedZone(job, task);
      if (currentZone !== null)
        tasksByZone.set(currentZone, Math.max(0, (tasksByZone.get(currentZone) ?? 0) - 1));
      const candidate = tightestFit(job, candidates, tasksByZone);
      if (candidate === null) break;
      const { zone } = candidate.machine;
      subtractResources(candidate.projected, job.spec);
      tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    }
  }
}

function assignedZone(job: Job, task: number): string | null {
  return job.chunks.get(chunkIndexOf(task))?.assignments.get(task)?.zone ?? null;
}

/** Returns the machine that fits with the fewest free GPUs, so that whole machines stay free, or null if none fits. */
function tightestFit(
  job: Job,
  candidates: readonly Candidate[],
  tasksByZone: ReadonlyMap<string, number>,
): Candidate | null {
  let best: Candidate | null = null;
  for (const candidate of candidates) {
    if (!fits(job.spec, candidate.projected) || !isMachineAllowed(job.spec, candidate.machine)) continue;
    if (!isZoneAllowed(job, candidate.machine.zone, tasksByZone)) continue;
    if (best === null || candidate.projected.gpus < best.projected.gpus) best = candidate;
  }
  return best;
}
