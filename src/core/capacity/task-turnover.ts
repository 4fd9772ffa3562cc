/**
 * @file Which pending array tasks can follow others in time instead of getting capacity of their own: those of the same
 * job one after another, and on capacity that running array tasks of other jobs leave soon.
 */
import { estimatedSeconds, startDeadline } from '../jobs/deadline-slack.js';
import { isUsable } from '../machines/free-resources.js';
import type { Job } from '../model/job.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { MachineKind } from './machine-kind.js';

/** Share of the time left that an array task may wait for capacity to be left: fetches and late ends need the rest. */
const MAX_WAIT_SHARE = 0.3;

/** Capacity that a running array task leaves when it finishes. */
export interface Turnover extends MachineKind {
  readonly remainingS: number;
  readonly job: Job;
  /** A pending task is planned to follow. */
  taken: boolean;
}

/** How many of a job's pending tasks need capacity of their own; the rest can follow them before the deadline. */
export function slotsNeeded(state: ClusterState, job: Job, bootS: number, now: Timestamp): number {
  const pending = job.unassignedTasks.size;
  if (job.spec.kind !== 'array') return pending;
  const estimateS = Math.max(estimatedSeconds(state, job), 1);
  const untilEndS = startDeadline(state, job) + estimateS - now.wall.getTime() / 1000 - bootS;
  const tasksPerSlot = Math.max(1, Math.floor(Math.max(untilEndS, bootS) / estimateS));
  return Math.ceil(pending / tasksPerSlot);
}

/** Capacity that running array tasks will leave, soonest first. */
export function expectedTurnovers(state: ClusterState, now: Timestamp): Turnover[] {
  const turnovers: Turnover[] = [];
  for (const machine of state.machines.byName.values()) {
    if (!isUsable(state, machine, now.monotonic)) continue;
    const { type, zone, spot } = machine;
    for (const { jobId, runningSince, stopRequest } of machine.assignments.values()) {
      const job = state.jobs.byId.get(jobId);
      if (job?.spec.kind !== 'array' || runningSince === null || stopRequest !== null) continue;
      const ranForS = toSeconds(now.monotonic - runningSince);
      const remainingS = Math.max(estimatedSeconds(state, job) - ranForS, 1);
      turnovers.push({ type, zone, spot, remainingS, job, taken: false });
    }
  }
  return turnovers.sort((a, b) => a.remainingS - b.remainingS);
}

/** Turnovers that the job's tasks can wait for, soonest first. Each serves one task in a round of fleet sizing. */
export function* turnoversFor(
  state: ClusterState,
  job: Job,
  turnovers: readonly Turnover[],
  now: Timestamp,
): Generator<Turnover> {
  if (job.spec.kind !== 'array') return;
  const maxWaitS = (startDeadline(state, job) - now.wall.getTime() / 1000) * MAX_WAIT_SHARE;
  for (const turnover of turnovers) {
    if (turnover.remainingS > maxWaitS) return;
    if (!turnover.taken && canFollow(job, turnover)) yield turnover;
  }
}

function canFollow({ spec }: Job, turnover: Turnover): boolean {
  const left = turnover.job.spec;
  return (
    left.gpus >= spec.gpus &&
    left.cpus >= spec.cpus - RESOURCE_EPSILON &&
    left.memory >= spec.memory - RESOURCE_EPSILON &&
    (!turnover.spot || spec.allowSpot) &&
    (spec.machineTypes === null || spec.machineTypes.includes(turnover.type)) &&
    (spec.zone === null || spec.zone === turnover.zone)
  );
}
