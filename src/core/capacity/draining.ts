/**
 * @file Chooses the machines to keep and the machines to drain. Placement spreads tasks over all machines; without
 * draining, no machine would ever be empty, and all of them would have to be paid for.
 */
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import { freeResourcesOf, isUsable } from '../machines/free-resources.js';
import type { Job } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import { NO_CAPACITY, NO_GANG_CAPACITY, PREEMPTION_IN_PROGRESS } from '../model/pending-reasons.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { Resources } from '../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import { usedShare } from './utilization.js';

/** Up to this many machines in use, the reserve is a fixed share of them. */
const LINEAR_RESERVE_LIMIT = 30;

/** Exponent by which the reserve grows beyond `LINEAR_RESERVE_LIMIT`. */
const RESERVE_EXPONENT = 0.65;

/** Seconds. A task whose remaining run time is longer than this makes its machine hard to drain. */
const LONG_REMAINING_S = 60;

/** How hard a machine is to drain: service replicas never finish, long tasks finish late, other tasks finish soon. */
const DRAIN_EFFORT = { replica: 3, longTask: 2, none: 0 } as const;

interface DrainCandidate {
  readonly machine: Machine;
  readonly used: number;
  readonly effort: number;
  readonly price: number;
}

/**
 * Keeps enough machines for the work in use and a reserve: first those that are hard to drain, then the cheapest, then
 * the fullest. The other machines are drained, unless a blocked job lacks capacity.
 */
export function chooseDrainingMachines(state: ClusterState, blocked: readonly Job[], now: Timestamp): void {
  const candidates: DrainCandidate[] = [];
  const inUse = new MachinesInUse();
  for (const machine of state.machines.byName.values()) {
    const type = state.machines.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now.monotonic)) continue;
    const free = freeResourcesOf(state, machine);
    inUse.add(type, free);
    candidates.push({
      machine,
      used: usedShare(type, free),
      effort: drainEffort(state, machine, now),
      price: machine.spot ? type.spotPrice : type.price,
    });
  }
  candidates.sort(byDrainOrder);

  const keepCount = inUse.count + Math.max(reserveSize(inUse.count, state.settings.reserveShare), 1);
  // Only a lack of capacity is a reason to drain no machine. When every pending reason counted as such, a single job
  // that was pending for another reason kept the whole fleet from being drained.
  const capacityLacking = blocked.some(lacksCapacity);
  candidates.forEach(({ machine }, index) => {
    machine.draining = !capacityLacking && index >= keepCount;
  });
}

const byDrainOrder = (a: DrainCandidate, b: DrainCandidate): number =>
  b.effort - a.effort || a.price - b.price || b.used - a.used || (a.machine.name < b.machine.name ? -1 : 1);

/**
 * Counts how many whole machines the work in use amounts to, by the resource that is scarcest in the fleet. When this
 * was counted by the scarcest resource of each machine, a machine full of work without GPUs and a machine with all its
 * GPUs in use counted as two, although the work of both fits on little more than one. The reserve was then also
 * computed for capacity that was not in use.
 */
class MachinesInUse {
  private cpus = 0;
  private gpus = 0;
  private memory = 0;

  add(type: MachineType, free: Readonly<Resources>): void {
    this.cpus += 1 - free.cpus / type.cpus;
    this.gpus += type.gpus > 0 ? 1 - free.gpus / type.gpus : 0;
    this.memory += 1 - free.memory / type.memory;
  }

  get count(): number {
    return Math.max(this.cpus, this.gpus, this.memory);
  }
}

const lacksCapacity = (job: Job): boolean =>
  job.pendingReason === NO_CAPACITY ||
  job.pendingReason === NO_GANG_CAPACITY ||
  job.pendingReason === PREEMPTION_IN_PROGRESS;

/**
 * Returns the number of machines to keep beyond those in use. The more work there is, the more its fluctuations even
 * out, so that the share that is needed falls as the fleet grows.
 */
function reserveSize(inUse: number, reserveShare: number): number {
  if (inUse <= LINEAR_RESERVE_LIMIT) return inUse * reserveShare;
  return LINEAR_RESERVE_LIMIT * reserveShare * (inUse / LINEAR_RESERVE_LIMIT) ** RESERVE_EXPONENT;
}

function drainEffort(state: ClusterState, machine: Machine, now: Timestamp): number {
  let effort: number = DRAIN_EFFORT.none;
  for (const { jobId, runningSince } of machine.assignments.values()) {
    const job = state.jobs.byId.get(jobId);
    if (job === undefined) continue;
    if (job.spec.kind === 'service') return DRAIN_EFFORT.replica;
    const ranForS = runningSince === null ? 0 : toSeconds(now.monotonic - runningSince);
    if (estimatedSeconds(state, job) - ranForS > LONG_REMAINING_S) effort = DRAIN_EFFORT.longTask;
  }
  return effort;
}
