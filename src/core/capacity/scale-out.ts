/** @file Machines to rent for work that neither free room nor machines on their way will hold. */
import { isUsable, resourcesOf } from '../machines/free-resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { ScaleOutRequest } from '../model/scale-out.js';
import { emitLog } from '../state/log-effects.js';
import { type DemandForecast, forecastDemand } from './demand-forecast.js';
import { usedShare } from './scale-in.js';
import { assignmentsByZone } from '../assignments/assignments.js';
import type { Job } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { estimatedSeconds, startDeadline } from '../jobs/deadline-slack.js';
import { type Resources, fits, subtractResources } from '../model/resources.js';
import { isZoneAllowed } from '../scheduling/placement-constraints.js';
import { type Timestamp, seconds, toSeconds } from '../model/time.js';
import { isZoneUnavailable } from '../scheduling/zone-availability.js';

/** Share of the time left that an array task may spend waiting for another's place: fetches and late ends need the rest. */
const PATIENCE = 0.3;

interface Slot {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly r: Resources;
  readonly fresh: boolean;
}

const slotKey = (s: { type: string; zone: string; spot: boolean }): string =>
  `${s.type}|${s.zone}|${s.spot ? 's' : 'o'}`;

const whole = (type: MachineType): Resources => ({ cpus: type.cpus, gpus: type.gpus, memory: type.memory });

/** How many of a job's waiting tasks need room of their own; the rest can follow them in time. */
function slotsWanted(state: ClusterState, job: Job, boot: number, now: Timestamp): number {
  const n = job.unassignedTasks.size;
  if (job.spec.kind !== 'array') return n;
  const estimate = Math.max(estimatedSeconds(state, job), 1);
  const left = startDeadline(state, job) + estimate - now.wall.getTime() / 1000 - boot;
  const each = Math.max(1, Math.floor(Math.max(left, boot) / estimate));
  return Math.ceil(n / each);
}

/** A running array task: its place can be used again once it is done. */
interface Turnover {
  readonly zone: string;
  readonly type: string;
  readonly spot: boolean;
  readonly left: number;
  readonly job: Job;
  used: boolean;
}

/** Places of running array tasks, soonest free first. */
function turnovers(state: ClusterState, now: Timestamp): Turnover[] {
  const out: Turnover[] = [];
  for (const machine of state.machines.byName.values()) {
    if (!isUsable(state, machine, now.monotonic)) continue;
    for (const assignment of machine.assignments.values()) {
      const job = state.jobs.byId.get(assignment.jobId);
      if (
        job === undefined ||
        job.spec.kind !== 'array' ||
        assignment.runningSince === null ||
        assignment.stopRequest !== null
      )
        continue;
      const left = Math.max(
        estimatedSeconds(state, job) - toSeconds(now.monotonic - assignment.runningSince),
        1,
      );
      out.push({ zone: machine.zone, type: machine.type, spot: machine.spot, left, job, used: false });
    }
  }
  return out.sort((a, b) => a.left - b.left);
}

/** Places that the job's tasks can follow on in time, soonest first; each is used once in a round. */
function* reusableSlots(
  state: ClusterState,
  job: Job,
  list: readonly Turnover[],
  now: Timestamp,
): Generator<Turnover> {
  if (job.spec.kind !== 'array') return;
  const slack = (startDeadline(state, job) - now.wall.getTime() / 1000) * PATIENCE;
  for (const turnover of list) {
    if (turnover.left > slack) return;
    if (
      !turnover.used &&
      turnover.job.spec.gpus >= job.spec.gpus &&
      turnover.job.spec.cpus >= job.spec.cpus - 1e-6 &&
      turnover.job.spec.memory >= job.spec.memory - 1e-6 &&
      (!turnover.spot || job.spec.allowSpot) &&
      (job.spec.machineTypes === null || job.spec.machineTypes.includes(turnover.type)) &&
      (job.spec.zone === null || job.spec.zone === turnover.zone)
    )
      yield turnover;
  }
}

/** Slots that hold a task of the job, first to last. Where zones do not depend on its other tasks, none is looked at twice. */
class Fitting {
  private at = 0;
  private readonly fixed: boolean;

  constructor(
    private readonly job: Job,
    private readonly slots: readonly Slot[],
    private readonly taken: ReadonlyMap<string, number>,
  ) {
    this.fixed = !job.spec.singleZone && !job.spec.spreadAcrossZones;
  }

  next(): Slot | undefined {
    const { job, slots, taken } = this;
    const { spec } = job;
    for (let k = this.fixed ? this.at : 0; k < slots.length; k++) {
      const slot = slots[k];
      if (
        slot !== undefined &&
        fits(spec, slot.r) &&
        (!slot.spot || spec.allowSpot) &&
        (spec.machineTypes === null || spec.machineTypes.includes(slot.type)) &&
        isZoneAllowed(job, slot.zone, taken)
      ) {
        this.at = k;
        return slot;
      }
    }
    this.at = slots.length;
    return undefined;
  }
}

/** The cloud takes no more in one request. */
const RENT_AT_ONCE = 50;

/** New machines asked for in one round: the answers to these come before the next. */
const RENT_A_ROUND = 400;

/** Machines to rent for work that neither free room, nor room coming free, nor machines on their way will hold. */
export function planScaleOut(
  state: ClusterState,
  blocked: readonly Job[],
  now: Timestamp,
): ScaleOutRequest[] {
  if (state.machines.types.size === 0 || !state.machines.inventorySeen) return [];
  const ahead = forecastDemand(state, now);
  const slots = expectedSlots(state, now);
  const orders: Orders = new Map();
  const turning = turnovers(state, now);
  let fresh = 0;
  for (const job of blocked) {
    const taken = assignmentsByZone(job);
    const types = [...state.machines.types.values()].filter(
      (type) => job.spec.machineTypes === null || job.spec.machineTypes.includes(type.name),
    );
    const boot = Math.min(...types.map((type) => toSeconds(type.bootTime)));
    const need = slotsWanted(state, job, Number.isFinite(boot) ? boot : 0, now);
    const room = new Fitting(job, slots, taken);
    const after = reusableSlots(state, job, turning, now);
    for (let n = 0; n < need && fresh < RENT_A_ROUND; n++) {
      if (!state.jobs.quotas.allows(job.spec, n + 1)) break;
      let slot: Slot | null | undefined = room.next();
      if (slot === undefined) {
        const turn = after.next();
        if (turn.done !== true) {
          turn.value.used = true;
          continue;
        }
        slot = openSlot(state, job, types, taken, orders, now);
        if (slot === null) break;
        fresh += 1;
        slots.push(slot);
      }
      subtractResources(slot.r, job.spec);
      taken.set(slot.zone, (taken.get(slot.zone) ?? 0) + 1);
    }
    if (fresh >= RENT_A_ROUND) break;
  }
  rentAhead(state, ahead, slots, orders, RENT_A_ROUND - fresh, now);
  return [...orders.values()].flatMap(inCalls);
}

/** Machines for the work that comes while they boot, beyond what will be free by then. */
function rentAhead(
  state: ClusterState,
  { arriving: comes, finishing: ends, sampleJob: sample }: DemandForecast,
  slots: readonly Slot[],
  orders: Orders,
  most: number,
  now: Timestamp,
): void {
  if (sample === null || comes <= ends) return;
  let free = 0;
  for (const slot of slots) {
    const type = state.machines.types.get(slot.type);
    if (type !== undefined) free += Math.max(0, 1 - usedShare(type, slot.r));
  }
  const types = [...state.machines.types.values()].filter(
    (type) => sample.spec.machineTypes === null || sample.spec.machineTypes.includes(type.name),
  );
  for (let n = Math.min(most, Math.floor(comes - ends - free)); n > 0; n--)
    if (openSlot(state, sample, types, new Map(), orders, now) === null) return;
}

function inCalls(request: ScaleOutRequest): ScaleOutRequest[] {
  const out: ScaleOutRequest[] = [];
  for (let left = request.count; left > 0; left -= RENT_AT_ONCE)
    out.push({ ...request, count: Math.min(left, RENT_AT_ONCE) });
  return out;
}

type Orders = Map<string, { type: string; zone: string; spot: boolean; count: number }>;

function expectedSlots(state: ClusterState, now: Timestamp): Slot[] {
  const slots: Slot[] = [];
  for (const machine of state.machines.byName.values()) {
    if (!isUsable(state, machine, now.monotonic) || isZoneUnavailable(state, machine.zone)) continue;
    const r = { ...resourcesOf(state, machine).projected };
    slots.push({ type: machine.type, zone: machine.zone, spot: machine.spot, r, fresh: false });
  }
  const coming = [...state.machines.booting.values()].map((b) => ({
    type: b.type,
    zone: b.zone,
    spot: b.spot,
    count: 1,
  }));
  for (const pending of state.scaling.pending.values()) coming.push(pending.request);
  for (const c of coming) {
    const type = state.machines.types.get(c.type);
    if (type === undefined) continue;
    for (let n = 0; n < c.count; n++)
      slots.push({ type: c.type, zone: c.zone, spot: c.spot, r: whole(type), fresh: false });
  }
  return slots;
}

/** Spot where the job may use it, ordinary otherwise; the cheapest first, not where we were just refused. */
function openSlot(
  state: ClusterState,
  job: Job,
  types: readonly MachineType[],
  taken: ReadonlyMap<string, number>,
  orders: Orders,
  now: Timestamp,
): Slot | null {
  const options: { type: MachineType; zone: string; spot: boolean; price: number; have: number }[] = [];
  for (const type of types) {
    if (!fits(job.spec, whole(type))) continue;
    for (const zone of type.zones) {
      if (!isZoneAllowed(job, zone, taken) || isZoneUnavailable(state, zone)) continue;
      for (const spot of job.spec.allowSpot ? [true, false] : [false]) {
        const refused = state.scaling.refusedAt.get(slotKey({ type: type.name, zone, spot }));
        if (refused !== undefined && now.monotonic - refused < seconds(20)) continue;
        const have = orders.get(slotKey({ type: type.name, zone, spot }))?.count ?? 0;
        options.push({ type, zone, spot, price: spot ? type.spotPrice : type.price, have });
      }
    }
  }
  options.sort((a, b) => a.price - b.price || a.have - b.have || (a.zone < b.zone ? -1 : 1));
  const best = options[0];
  if (best === undefined) return null;
  const slot = { type: best.type.name, zone: best.zone, spot: best.spot };
  const key = slotKey(slot);
  const order = orders.get(key) ?? { ...slot, count: 0 };
  order.count += 1;
  orders.set(key, order);
  return { ...slot, r: whole(best.type), fresh: true };
}

/** Remembers that the cloud had no such machine. */
export function onScaleOutRefused(state: ClusterState, request: ScaleOutRequest, now: Timestamp): void {
  state.scaling.refusedAt.set(slotKey(request), now.monotonic);
}

/** Tells of a rental in the log. */
export function logScaleOut(state: ClusterState, request: ScaleOutRequest): void {
  emitLog(
    state,
    'renting',
    { type: request.type, zone: request.zone, spot: request.spot, count: request.count },
    'info',
  );
}
