/** @file The capacity that pending tasks can expect: on usable machines, and on machines booting or requested. */
import { isUsable, resourcesOf } from '../machines/free-resources.js';
import type { Job } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import { type Resources, copyResources, fits } from '../model/resources.js';
import { isZoneAllowed } from '../scheduling/placement-constraints.js';
import { isZoneUnavailable } from '../scheduling/zone-availability.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { MachineKind } from './machine-kind.js';

/** A machine that is usable, is booting, has been requested, or is planned to be requested in this round. */
export interface ExpectedMachine extends MachineKind {
  /** Free capacity, plus that of tasks being stopped, minus the tasks that are planned on the machine. */
  readonly free: Resources;
}

/** Returns all usable machines, then those that are booting, then those that have been requested. */
export function expectedMachines(state: ClusterState, now: Timestamp): ExpectedMachine[] {
  const expected: ExpectedMachine[] = [];
  for (const machine of state.machines.byName.values()) {
    if (!isUsable(state, machine, now.monotonic) || isZoneUnavailable(state, machine.zone)) continue;
    const { type, zone, spot } = machine;
    expected.push({ type, zone, spot, free: copyResources(resourcesOf(state, machine).projected) });
  }
  for (const kind of state.machines.booting.values()) addEmptyMachines(state, expected, kind, 1);
  for (const { request } of state.scaling.pending.values())
    addEmptyMachines(state, expected, request, request.count);
  return expected;
}

function addEmptyMachines(
  state: ClusterState,
  expected: ExpectedMachine[],
  kind: MachineKind,
  count: number,
): void {
  const type = state.machines.types.get(kind.type);
  if (type === undefined) return;
  for (let n = 0; n < count; n++)
    expected.push({ type: kind.type, zone: kind.zone, spot: kind.spot, free: copyResources(type) });
}

/**
 * Finds expected machines that fit a task of a job, in their order. If the allowed zones do not depend on the job's
 * other tasks, a machine that did not fit once will never fit and is not checked again.
 */
export class ExpectedMachineFinder {
  private next = 0;
  private readonly zonesAreFixed: boolean;

  constructor(
    private readonly job: Job,
    private readonly machines: readonly ExpectedMachine[],
    private readonly assignedByZone: ReadonlyMap<string, number>,
  ) {
    this.zonesAreFixed = !job.spec.singleZone && !job.spec.spreadAcrossZones;
  }

  /**
   * Returns a machine with capacity for one more task, the same one until it is full, or undefined if there is none.
   */
  find(): ExpectedMachine | undefined {
    for (let index = this.zonesAreFixed ? this.next : 0; index < this.machines.length; index++) {
      const machine = this.machines[index];
      if (machine === undefined || !this.isSuitable(machine)) continue;
      this.next = index;
      return machine;
    }
    this.next = this.machines.length;
    return undefined;
  }

  private isSuitable(machine: ExpectedMachine): boolean {
    const { spec } = this.job;
    return (
      fits(spec, machine.free) &&
      (!machine.spot || spec.allowSpot) &&
      (spec.machineTypes === null || spec.machineTypes.includes(machine.type)) &&
      isZoneAllowed(this.job, machine.zone, this.assignedByZone)
    );
  }
}
