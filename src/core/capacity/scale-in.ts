/** @file Which machines to keep, and which to close and return. */
import { freeOn, isUsable } from '../machines/free-resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import { NO_CAPACITY, NO_GANG_CAPACITY, PREEMPTION_IN_PROGRESS } from '../model/pending-reasons.js';
import { manySuspected } from '../reconciliation/failure-detector.js';
import { leaseExpiry } from '../reconciliation/worker-leases.js';
import type { Job } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import { estimatedSeconds } from '../jobs/deadline-slack.js';
import type { Resources } from '../model/resources.js';
import { type Timestamp, seconds, toSeconds } from '../model/time.js';
import { isZoneUnavailable } from '../scheduling/zone-availability.js';

const LEAST_CHARGE = seconds(60);

/**
 * Chooses the machines to keep: enough for what is in use plus a reserve, those that cannot be emptied soon and the
 * cheap ones first. The rest is closed: the scheme's pick spreads tasks over all machines, and without this none would
 * ever be empty and all would be paid for.
 */
export function chooseDrainingMachines(state: ClusterState, blocked: readonly Job[], now: Timestamp): void {
  const rows: { machine: Machine; used: number; held: number; price: number }[] = [];
  const inUse = new MachinesInUse();
  for (const machine of state.machines.byName.values()) {
    const type = state.machines.types.get(machine.type);
    if (type === undefined || !isUsable(state, machine, now.monotonic)) continue;
    const free = freeOn(state, machine);
    inUse.add(type, free);
    rows.push({
      machine,
      used: usedShare(type, free),
      held: heldFor(state, machine, now),
      price: machine.spot ? type.spotPrice : type.price,
    });
  }
  rows.sort(
    (a, b) =>
      b.held - a.held || a.price - b.price || b.used - a.used || (a.machine.name < b.machine.name ? -1 : 1),
  );

  const needed = inUse.count;
  const want = needed + Math.max(reserveFor(needed, state.settings.reserveShare), 1);
  // Only work that lacks room is a reason to keep machines: one job that waits for something else kept a whole fleet.
  const short = blocked.some((job) => lacksRoom(job));
  let kept = 0;
  for (const row of rows) {
    row.machine.draining = !short && kept >= want;
    kept += 1;
  }
}

/**
 * How many whole machines the work in use comes to, by the resource that is scarcest in the fleet. Counted by what is
 * scarcest on each machine, a machine full of work without GPUs and one with all its GPUs taken came to two, though
 * the work of both fits one and a bit: the reserve then paid for the leftovers too.
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

const lacksRoom = (job: Job): boolean =>
  job.pendingReason === NO_CAPACITY ||
  job.pendingReason === NO_GANG_CAPACITY ||
  job.pendingReason === PREEMPTION_IN_PROGRESS;

/** Up to so many machines in use the reserve is a fixed share of them. */
const RESERVE_FULL = 30;

const RESERVE_EXPONENT = 0.65;

/**
 * Machines kept beyond those in use. The more work there is, the more its ups and downs even out, so the share that is
 * needed falls with the size of the fleet.
 */
export function reserveFor(inUse: number, reserve: number): number {
  if (inUse <= RESERVE_FULL) return inUse * reserve;
  return RESERVE_FULL * reserve * (inUse / RESERVE_FULL) ** RESERVE_EXPONENT;
}

/** How hard a machine is to empty: replicas stay for good, gangs for long, arrays end soon. */
function heldFor(state: ClusterState, machine: Machine, now: Timestamp): number {
  let held = 0;
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined) continue;
    const left = Math.max(
      estimatedSeconds(state, job) -
        (assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince)),
      0,
    );
    held = Math.max(held, job.spec.kind === 'service' ? 3 : left > LONG_S ? 2 : 0);
  }
  return held;
}

/** A task with more than this to go keeps its machine from being emptied soon. */
const LONG_S = 60;

/** The largest share of anything that is taken on a machine with so much free. */
export const usedShare = (type: MachineType, r: Readonly<Resources>): number =>
  1 - Math.min(r.cpus / type.cpus, type.gpus > 0 ? r.gpus / type.gpus : 1, r.memory / type.memory);

/** Machines with no task and no intent that nothing waits for, and those that never come up. */
export function machinesToRelease(state: ClusterState, now: Timestamp): { names: string[]; why: string }[] {
  const by = new Map<string, string[]>();
  const many = manySuspected(state, now);
  for (const machine of state.machines.byName.values()) {
    if (machine.releasing || machine.assignments.size > 0 || machine.reportedTasks.size > 0) {
      machine.idleSince = null;
      continue;
    }
    const reason = uselessBecause(state, machine, many, now) ?? idleBecause(state, machine, now);
    if (reason !== null) by.set(reason, [...(by.get(reason) ?? []), machine.name]);
  }
  return [...by].flatMap(([reason, names]) => {
    const calls: { names: string[]; why: string }[] = [];
    for (let n = 0; n < names.length; n += RETURN_AT_ONCE)
      calls.push({ names: names.slice(n, n + RETURN_AT_ONCE), why: reason });
    return calls;
  });
}

/** The cloud takes no more names in one request. */
const RETURN_AT_ONCE = 100;

function idleBecause(state: ClusterState, machine: Machine, now: Timestamp): string | null {
  // Machines of a zone that is held down stand idle for the policy's sake: work is to come back to them.
  if (machine.agentEpoch === 0 || isZoneUnavailable(state, machine.zone)) return null;
  machine.idleSince ??= now.monotonic;
  // A machine costs at least its first minute: until then it may as well stay.
  const due =
    now.monotonic - machine.idleSince >= state.settings.idleTimeout &&
    now.monotonic - machine.firstSeenAt >= LEAST_CHARGE;
  return machine.draining && machine.fenced && due ? 'idle' : null;
}

function uselessBecause(state: ClusterState, machine: Machine, many: boolean, now: Timestamp): string | null {
  if (machine.instanceState === 'failed') return 'failed';
  if (machine.agentEpoch > 0 && machine.quarantined) return 'set aside';
  // It can do no work and is paid for; twice a lease is enough for a cut that passes.
  if (
    machine.unreachableSince !== null &&
    now.monotonic - machine.unreachableSince > state.config.workerLease * 2n &&
    !many
  )
    return 'cannot be reached';
  const gone =
    machine.agentEpoch > 0 &&
    now.monotonic - machine.lastHeartbeatAt > state.config.workerLease * 2n &&
    now.monotonic > leaseExpiry(state, machine);
  if (gone && !many) return 'silent';
  const booting = state.machines.booting.get(machine.name);
  const type = state.machines.types.get(machine.type);
  if (
    machine.agentEpoch === 0 &&
    booting !== undefined &&
    type !== undefined &&
    now.monotonic - booting.since > type.bootTime * 5n
  )
    return 'never came up';
  return null;
}
