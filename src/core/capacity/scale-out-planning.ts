/**
 * @file Plans which machines to request: for pending tasks that fit neither free capacity, nor the capacity of tasks
 * that will finish in time, nor machines booting or requested; and for work that will arrive while machines boot.
 */
import { assignableTasks, assignmentsByZone } from '../assignments/assignments.js';
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { subtractResources } from '../model/resources.js';
import type { ScaleOutRequest } from '../model/scale-out.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { forecastDemand } from './demand-forecast.js';
import { type ExpectedMachine, ExpectedMachineFinder, expectedMachines } from './expected-machines.js';
import { RequestedMachines } from './machine-choice.js';
import {
  type FinishingTask,
  finishingTasks,
  tasksNeedingCapacity,
  finishingTasksFor,
} from './capacity-reuse.js';
import { usedShare } from './utilization.js';

/** Upper bound on the new machines requested in one round. The responses arrive before the next round. */
const MAX_NEW_MACHINES_PER_ROUND = 400;

/** Returns requests for the machines that the blocked jobs need, in the order of the jobs, then for the forecast. */
export function planScaleOut(
  state: ClusterState,
  blocked: readonly Job[],
  now: Timestamp,
): ScaleOutRequest[] {
  if (state.machines.types.size === 0 || !state.machines.inventoryReceived) return [];
  const plan = new ScaleOutPlan(state, now);
  for (const job of blocked) {
    plan.addPendingTasks(job);
    if (plan.isFull) break;
  }
  plan.addForecast();
  return plan.requests();
}

class ScaleOutPlan {
  private readonly expectedMachines: ExpectedMachine[];
  private readonly finishingTasks: readonly FinishingTask[];
  private readonly requested: RequestedMachines;
  private newMachines = 0;
  /** Tasks that may still be planned: a machine for more than can be assigned would stay empty. */
  private plannableTasks: number;

  constructor(
    private readonly state: ClusterState,
    private readonly now: Timestamp,
  ) {
    this.plannableTasks = assignableTasks(state);
    this.expectedMachines = expectedMachines(state, now);
    this.finishingTasks = finishingTasks(state, now);
    this.requested = new RequestedMachines(state, now);
  }

  get isFull(): boolean {
    return this.newMachines >= MAX_NEW_MACHINES_PER_ROUND || this.plannableTasks <= 0;
  }

  requests(): ScaleOutRequest[] {
    return this.requested.requests();
  }

  /** Plans a job's pending tasks on expected machines, then after finishing tasks, then on new machines. */
  addPendingTasks(job: Job): void {
    const { state, now } = this;
    const assignedByZone = assignmentsByZone(job);
    const types = allowedTypes(state, job);
    const needed = tasksNeedingCapacity(state, job, shortestBootSeconds(types), now);
    const finder = new ExpectedMachineFinder(job, this.expectedMachines, assignedByZone);
    const reusable = finishingTasksFor(state, job, this.finishingTasks, now);
    for (let task = 0; task < needed && !this.isFull; task++) {
      if (!state.jobs.quotas.allows(job.spec, task + 1)) return;
      this.plannableTasks -= 1;
      let machine = finder.find();
      if (machine === undefined) {
        if (claimNext(reusable)) continue;
        machine = this.addMachine(job, types, assignedByZone);
        if (machine === undefined) return;
      }
      subtractResources(machine.free, job.spec);
      assignedByZone.set(machine.zone, (assignedByZone.get(machine.zone) ?? 0) + 1);
    }
  }

  /** Plans machines for the work that arrives while they boot, beyond what will be free by then. */
  addForecast(): void {
    const { arriving, finishing, sampleJob } = forecastDemand(this.state, this.now);
    if (sampleJob === null || arriving <= finishing) return;
    const types = allowedTypes(this.state, sampleJob);
    const shortfall = Math.floor(arriving - finishing - this.freeCapacityInMachines());
    const limit = MAX_NEW_MACHINES_PER_ROUND - this.newMachines;
    for (let n = Math.min(limit, shortfall); n > 0; n--)
      if (this.requested.add(sampleJob, types, new Map()) === null) return;
  }

  private addMachine(
    job: Job,
    types: readonly MachineType[],
    assignedByZone: ReadonlyMap<string, number>,
  ): ExpectedMachine | undefined {
    const machine = this.requested.add(job, types, assignedByZone);
    if (machine === null) return undefined;
    this.newMachines += 1;
    this.expectedMachines.push(machine);
    return machine;
  }

  /** Returns the free capacity of all expected machines, measured in machines. */
  private freeCapacityInMachines(): number {
    let free = 0;
    for (const machine of this.expectedMachines) {
      const type = this.state.machines.types.get(machine.type);
      if (type !== undefined) free += Math.max(0, 1 - usedShare(type, machine.free));
    }
    return free;
  }
}

/** Claims the next finishing task for a pending task. Returns false if there is none. */
function claimNext(reusable: Generator<FinishingTask>): boolean {
  const next = reusable.next();
  if (next.done === true) return false;
  next.value.claimed = true;
  return true;
}

const allowedTypes = (state: ClusterState, job: Job): MachineType[] =>
  [...state.machines.types.values()].filter(
    (type) => job.spec.machineTypes === null || job.spec.machineTypes.includes(type.name),
  );

function shortestBootSeconds(types: readonly MachineType[]): number {
  return types.length === 0 ? 0 : Math.min(...types.map((type) => toSeconds(type.bootTime)));
}
