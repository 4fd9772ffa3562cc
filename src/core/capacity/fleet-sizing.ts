/** @file One round of fleet sizing: decides which machines to drain, to request and to release. */
import type { Job } from '../model/job.js';
import { TaskSet } from '../model/task-set.js';
import type { Timestamp } from '../model/time.js';
import { runSchedulingCycle } from '../scheduling/scheduling-cycle.js';
import { displacedReplicas } from '../scheduling/displaced-replicas.js';
import type { ClusterState } from '../state/cluster-state.js';
import { chooseDrainingMachines } from './draining.js';
import { machinesToRelease } from './machine-release.js';
import { requestScaleIn } from './scale-in-requests.js';
import { planScaleOut } from './scale-out-planning.js';
import { requestScaleOut } from './scale-out-requests.js';

/** Runs a scheduling cycle and sizes the fleet for the jobs that it leaves without capacity. */
export function sizeFleet(state: ClusterState, now: Timestamp): void {
  const blocked = runSchedulingCycle(state, now);
  chooseDrainingMachines(state, blocked, now);
  const demand = [...displacedJobs(state, now), ...blocked];
  for (const request of planScaleOut(state, demand, now)) requestScaleOut(state, request);
  for (const { machineNames, reason } of machinesToRelease(state, now))
    requestScaleIn(state, machineNames, reason);
}

/**
 * Returns the jobs of service replicas that may have to start elsewhere, with only these replicas as unassigned tasks,
 * so that machines are requested before the loss of the replicas is certain.
 */
const displacedJobs = (state: ClusterState, now: Timestamp): Job[] =>
  displacedReplicas(state, now).map(({ job, tasks }) => ({
    ...job,
    unassignedTasks: TaskSet.of(job.spec.taskCount, tasks),
  }));
