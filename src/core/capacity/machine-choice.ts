/** @file Chooses kinds of machines to request, and collects the requests of one round of fleet sizing. */
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { ScaleOutRequest } from '../model/scale-out.js';
import type { Timestamp } from '../model/time.js';
import { copyResources, fits } from '../model/resources.js';
import { isZoneAllowed } from '../scheduling/placement-constraints.js';
import { isZoneUnavailable } from '../scheduling/zone-availability.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { ExpectedMachine } from './expected-machines.js';
import { type MachineKind, machineKindKey } from './machine-kind.js';
import { wasRecentlyRefused } from './scale-out-requests.js';

/** Upper bound on the machines that the cloud accepts in one request. */
const MAX_MACHINES_PER_SCALE_OUT = 50;

interface MachineOption {
  readonly kind: MachineKind;
  readonly type: MachineType;
  readonly price: number;
  /** Number of machines of this kind that the round requests already. */
  readonly requested: number;
}

/** The machines that one round of fleet sizing requests, by kind. */
export class RequestedMachines {
  private readonly counts = new Map<string, { readonly kind: MachineKind; count: number }>();

  constructor(
    private readonly state: ClusterState,
    private readonly now: Timestamp,
  ) {}

  /**
   * Adds the cheapest machine for a task of the job and returns it, or returns null if no kind is suitable. Spot
   * instances are included if the job allows them; kinds that the cloud recently refused are excluded.
   */
  add(
    job: Job,
    types: readonly MachineType[],
    assignedByZone: ReadonlyMap<string, number>,
  ): ExpectedMachine | null {
    const best = this.optionsFor(job, types, assignedByZone).sort(byPrice)[0];
    if (best === undefined) return null;
    const key = machineKindKey(best.kind);
    const entry = this.counts.get(key);
    if (entry === undefined) this.counts.set(key, { kind: best.kind, count: 1 });
    else entry.count += 1;
    return { ...best.kind, free: copyResources(best.type) };
  }

  /** Returns the requests, each no larger than the cloud accepts. */
  requests(): ScaleOutRequest[] {
    const requests: ScaleOutRequest[] = [];
    for (const { kind, count } of this.counts.values())
      for (let left = count; left > 0; left -= MAX_MACHINES_PER_SCALE_OUT)
        requests.push({ ...kind, count: Math.min(left, MAX_MACHINES_PER_SCALE_OUT) });
    return requests;
  }

  private optionsFor(
    job: Job,
    types: readonly MachineType[],
    assignedByZone: ReadonlyMap<string, number>,
  ): MachineOption[] {
    const options: MachineOption[] = [];
    for (const type of types) {
      if (!fits(job.spec, type)) continue;
      for (const zone of type.zones) {
        if (!isZoneAllowed(job, zone, assignedByZone) || isZoneUnavailable(this.state, zone)) continue;
        for (const spot of job.spec.allowSpot ? [true, false] : [false]) {
          const kind = { type: type.name, zone, spot };
          if (wasRecentlyRefused(this.state, kind, this.now)) continue;
          const requested = this.counts.get(machineKindKey(kind))?.count ?? 0;
          options.push({ kind, type, price: spot ? type.spotPrice : type.price, requested });
        }
      }
    }
    return options;
  }
}

/** Orders by price. Machines of the same price are spread over their kinds. */
const byPrice = (a: MachineOption, b: MachineOption): number =>
  a.price - b.price || a.requested - b.requested || (a.kind.zone < b.kind.zone ? -1 : 1);
