/**
 * @file The machines that may receive tasks, each with a copy of its capacity for one scheduling cycle. The cycle
 * reserves capacity on the copies; the machines themselves change only when a task is assigned.
 */
import { isUsable, resourcesOf } from '../machines/free-resources.js';
import type { JobSpec } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import { type Resources, copyResources, subtractResources } from '../model/resources.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** A machine that may receive tasks, with its capacity within one cycle. */
export interface Candidate {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Capacity that neither an assignment nor a reported task uses. */
  readonly free: Resources;
  /** Free capacity, plus that of tasks being stopped, minus what this cycle has reserved on the machine. */
  readonly projected: Resources;
  taskCount: number;
  /** Images that the machine is fetching, by name, with a lower bound on the remaining gigabytes. */
  readonly imageFetches: Map<string, number>;
}

/** Returns the machines that may receive tasks now, with their capacity. */
export function collectCandidates(state: ClusterState, now: Timestamp): Candidate[] {
  const candidates: Candidate[] = [];
  for (const machine of state.machines.byName.values()) {
    state.machines.scannedCount += 1;
    const type = state.machines.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now.monotonic)) continue;
    const { free, projected } = resourcesOf(state, machine);
    candidates.push({
      machine,
      type,
      free: copyResources(free),
      projected: copyResources(projected),
      taskCount: machine.assignments.size,
      imageFetches: imageFetchesOn(state, machine, type, now),
    });
  }
  return candidates;
}

/** Returns the images that a machine is fetching, derived from its assignments that wait for an image. */
function imageFetchesOn(
  state: ClusterState,
  machine: Machine,
  type: MachineType,
  now: Timestamp,
): Map<string, number> {
  const fetches = new Map<string, number>();
  for (const assignment of machine.assignments.values()) {
    if (assignment.phase !== 'assigned' && assignment.phase !== 'fetching') continue;
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined || machine.cachedImages.has(job.spec.image)) continue;
    const { image, imageGb } = job.spec;
    const fetchedGb = toSeconds(now.monotonic - assignment.createdAt) * type.fetchGbPerS;
    const remainingGb = Math.max(0, imageGb - fetchedGb);
    fetches.set(image, Math.min(fetches.get(image) ?? Infinity, remainingGb));
  }
  return fetches;
}

/** Reserves capacity for one task that starts on the candidate, and records its image fetch. */
export function reserveTask(candidate: Candidate, spec: JobSpec): void {
  subtractResources(candidate.free, spec);
  subtractResources(candidate.projected, spec);
  candidate.taskCount += 1;
  if (!candidate.machine.cachedImages.has(spec.image) && !candidate.imageFetches.has(spec.image))
    candidate.imageFetches.set(spec.image, spec.imageGb);
}

/** Returns a copy on which a plan can reserve without affecting the cycle. */
export const copyCandidate = (candidate: Candidate): Candidate => ({
  ...candidate,
  free: copyResources(candidate.free),
  projected: copyResources(candidate.projected),
  imageFetches: new Map(candidate.imageFetches),
});
