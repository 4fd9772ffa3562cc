/** @file Plans capacity for a waiting gang in one zone: free capacity, and machines that will be empty soonest. */
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';
import type { SchedulingCycle } from './cycle-context.js';
import { candidatesIn } from './placement-constraints.js';
import type { Reservation } from './reservation.js';

/** The input of a drain plan. */
interface GangDrainRequest {
  readonly job: Job;
  /** The only zone to use, or null for any zone. */
  readonly zone: string | null;
  readonly eligible: readonly Candidate[];
  /** Capacity that is free for tasks of the gang now. */
  readonly free: readonly Reservation[];
  readonly taskCount: number;
}

/** Free capacity and machines to drain. A machine is listed once for each task that it will run. */
export interface GangDrainPlan {
  readonly free: readonly Reservation[];
  readonly drained: readonly Candidate[];
  /** Number of tasks for which free capacity and drained machines are not enough. */
  readonly missingTasks: number;
  /** Expected seconds until the last drained machine is empty. */
  readonly lastEmptySeconds: number;
}

/** Whether a plan has fewer missing tasks than the best so far, or equally many and is ready sooner. */
export const isBetterDrainPlan = (plan: GangDrainPlan, best: GangDrainPlan): boolean =>
  plan.missingTasks < best.missingTasks ||
  (plan.missingTasks === best.missingTasks && plan.lastEmptySeconds < best.lastEmptySeconds);

/** Plans one zone: first the free capacity, then the machines that will be empty soonest. */
export function planGangDrain(cycle: SchedulingCycle, request: GangDrainRequest): GangDrainPlan {
  const { free, taskCount } = request;
  const drained: Candidate[] = [];
  let lastEmptySeconds = 0;
  for (const option of drainOptions(cycle, request))
    for (let task = 0; task < option.taskCapacity && free.length + drained.length < taskCount; task++) {
      drained.push(option.candidate);
      lastEmptySeconds = Math.max(lastEmptySeconds, option.emptySeconds);
    }
  return { free, drained, missingTasks: taskCount - free.length - drained.length, lastEmptySeconds };
}

interface DrainOption {
  readonly candidate: Candidate;
  /** Expected seconds until the machine is empty; 0 if it is already being drained for the gang. */
  readonly emptySeconds: number;
  /** Number of the gang's tasks that fit the empty machine. */
  readonly taskCapacity: number;
}

/** Returns the machines, other than those with the free capacity, that could be drained, soonest empty first. */
function drainOptions(
  { state, now }: SchedulingCycle,
  { job, zone, eligible, free }: GangDrainRequest,
): DrainOption[] {
  const { starvedGang } = state.scheduling;
  const alreadyDraining = starvedGang?.job === job.spec.id ? starvedGang.machines : null;
  const used = new Set(free.map(({ candidate }) => candidate));
  const options: DrainOption[] = [];
  for (const candidate of candidatesIn(zone, eligible)) {
    if (used.has(candidate)) continue;
    const emptySeconds = secondsUntilEmpty(state, candidate.machine, now);
    const taskCapacity = taskCapacityWhenEmpty(job, candidate);
    if (emptySeconds === null || taskCapacity === 0) continue;
    // Machines chosen in an earlier cycle stay chosen; otherwise each cycle could start over with different ones.
    const isChosen = alreadyDraining?.has(candidate.machine.name) === true;
    options.push({ candidate, emptySeconds: isChosen ? 0 : emptySeconds, taskCapacity });
  }
  return options.sort(
    (left, right) =>
      left.emptySeconds - right.emptySeconds ||
      (left.candidate.machine.name < right.candidate.machine.name ? -1 : 1),
  );
}

/** Returns how many of the job's tasks fit the machine when it is empty. */
function taskCapacityWhenEmpty({ spec }: Job, { type }: Candidate): number {
  const count = (capacity: number, requested: number): number =>
    requested > 0 ? Math.floor(capacity / requested + RESOURCE_EPSILON) : Infinity;
  return Math.min(
    count(type.cpus, spec.cpus),
    count(type.gpus, spec.gpus),
    count(type.memory, spec.memory),
    spec.taskCount,
  );
}

/** Returns the expected seconds until a machine is empty, or null if it runs service replicas, which never end. */
function secondsUntilEmpty(state: ClusterState, machine: Machine, now: Timestamp): number | null {
  let longest = 0;
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined) continue;
    if (job.spec.kind === 'service') return null;
    if (assignment.stopRequest !== null) continue;
    const runSeconds =
      assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince);
    longest = Math.max(longest, toSeconds(job.spec.estimatedDuration) - runSeconds, 1);
  }
  return longest;
}
