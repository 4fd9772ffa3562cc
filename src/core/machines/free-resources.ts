/**
 * @file Which machines can take tasks now, and their free capacity. It owns `Machine.resources`; other modules only
 * reset it to null after a change that affects it.
 */
import type { Machine } from '../model/machine.js';
import { type Resources, copyResources, subtractResources } from '../model/resources.js';
import type { MonotonicTime } from '../model/time.js';
import { leaseExpiry } from './lease-expiry.js';
import type { ClusterState } from '../state/cluster-state.js';
import { isSuspected } from './responsiveness.js';

/** Whether a task may be assigned to the machine now. */
export function isUsable(state: ClusterState, machine: Machine, now: MonotonicTime): boolean {
  return (
    hasCurrentAgent(machine) &&
    isInService(machine) &&
    // Unless a heartbeat is acknowledged before the lease expires, the worker begins a new agent epoch without tasks.
    now < leaseExpiry(state, machine) &&
    !isSuspected(state.config, machine, now) &&
    state.machines.types.has(machine.type)
  );
}

/** Whether the worker has reported this term's fencing token and its agent epoch has not expired. */
const hasCurrentAgent = (machine: Machine): boolean =>
  machine.hasShownTermToken && machine.agentEpoch !== 0 && machine.agentEpoch > machine.lastExpiredEpoch;

const isInService = (machine: Machine): boolean =>
  !machine.quarantined &&
  !machine.releasing &&
  machine.preemptionAt === null &&
  machine.instanceState !== 'failed' &&
  machine.unreachableSince === null;

/** Free resources of a machine: now (`free`), and once the tasks being stopped have ended (`projected`). */
interface MachineResources {
  readonly free: Readonly<Resources>;
  readonly projected: Readonly<Resources>;
}

/** Returns the machine's free resources, computed again only after a change on the machine. */
export function resourcesOf(state: ClusterState, machine: Machine): MachineResources {
  machine.resources ??= computeResources(state, machine);
  return machine.resources;
}

/** Returns the resources that neither an assignment nor a reported task takes. */
export const freeResourcesOf = (state: ClusterState, machine: Machine): Readonly<Resources> =>
  resourcesOf(state, machine).free;

function computeResources(
  state: ClusterState,
  machine: Machine,
): { readonly free: Resources; readonly projected: Resources } {
  const type = state.machines.types.get(machine.type);
  if (type === undefined) return { free: noResources(), projected: noResources() };
  const free = copyResources(type);
  const projected = copyResources(type);
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined) continue;
    subtractResources(free, job.spec);
    if (assignment.stopRequest === null) subtractResources(projected, job.spec);
  }
  if (machine.hasOrphanedTasks) subtractOrphanedTasks(state, machine, free, projected);
  return { free, projected };
}

const noResources = (): Resources => ({ cpus: 0, gpus: 0, memory: 0 });

/** Subtracts the resources of tasks that are reported without an assignment of that attempt. */
function subtractOrphanedTasks(
  state: ClusterState,
  machine: Machine,
  free: Resources,
  projected: Resources,
): void {
  for (const [key, task] of machine.reportedTasks) {
    const job = state.jobs.byId.get(task.jobId);
    if (job === undefined || machine.assignments.get(key)?.attempt === task.attempt) continue;
    subtractResources(free, job.spec);
    subtractResources(projected, job.spec);
  }
}
