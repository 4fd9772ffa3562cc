/** @file Which machines take tasks now, and what is free on them. */
import type { ClusterState } from '../state/cluster-state.js';
import { leaseExpiry } from '../reconciliation/worker-leases.js';
import type { Machine } from '../model/machine.js';
import type { JobSpec } from '../model/job.js';
import type { Resources } from '../model/resources.js';
import type { MonotonicTime } from '../model/time.js';
import { isSuspected } from './suspicion.js';

/** Whether a task may be placed here now. */
export function isUsable(state: ClusterState, machine: Machine, now: MonotonicTime): boolean {
  if (!machine.fenced || machine.agentEpoch === 0 || machine.agentEpoch <= machine.lastExpiredEpoch)
    return false;
  if (
    machine.quarantined ||
    machine.releasing ||
    machine.preemptionAt !== null ||
    machine.instanceState === 'failed' ||
    machine.unreachableSince !== null
  )
    return false;
  // Without an answer to it the worker goes on to its next session soon, and what it holds is gone.
  if (now >= leaseExpiry(state, machine)) return false;
  return !isSuspected(state.config, machine, now) && state.machines.types.has(machine.type);
}

/** What is free on a machine, counted again only after a change there. */
export function resourcesOf(
  state: ClusterState,
  machine: Machine,
): { readonly free: Resources; readonly projected: Resources } {
  machine.resources ??= countFree(state, machine);
  return machine.resources;
}

/** r_i: what neither an intent nor a reported task takes. Callers do not change it. */
export const freeOn = (state: ClusterState, machine: Machine): Readonly<Resources> =>
  resourcesOf(state, machine).free;

function countFree(state: ClusterState, machine: Machine): { free: Resources; projected: Resources } {
  const type = state.machines.types.get(machine.type);
  if (type === undefined)
    return { free: { cpus: 0, gpus: 0, memory: 0 }, projected: { cpus: 0, gpus: 0, memory: 0 } };
  const free: Resources = { cpus: type.cpus, gpus: type.gpus, memory: type.memory };
  const projected: Resources = { ...free };
  const take = (from: Resources, spec: JobSpec): void => {
    from.cpus -= spec.cpus;
    from.gpus -= spec.gpus;
    from.memory -= spec.memory;
  };
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined) continue;
    take(free, job.spec);
    if (assignment.stopRequest === null) take(projected, job.spec);
  }
  if (machine.hasOrphanedTasks)
    for (const [key, task] of machine.reportedTasks) {
      const assignment = machine.assignments.get(key);
      const job = state.jobs.byId.get(task.jobId);
      if (job === undefined || (assignment !== undefined && assignment.attempt === task.attempt)) continue;
      take(free, job.spec);
      take(projected, job.spec);
    }
  return { free, projected };
}
