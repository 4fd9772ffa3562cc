import { intentsOf, stopIntent, zonesTaken } from './jobs.js';
import { freeOn, usable } from './machines.js';
import { rank, type Intent, type Job, type Machine } from './model.js';
import { fits, machineAllowed, zoneAllowed, type Free } from './placement.js';
import { toSeconds, type Now } from './time.js';
import { note, type World } from './world.js';

/** Room on a machine once what is being stopped there is gone. */
interface Room {
  readonly machine: Machine;
  readonly r: Free;
}

/** Whether the blocked job may take the victim's place: higher priority, or its guarantee against a borrower. */
export function mayTake(w: World, job: Job, victim: Job): boolean {
  if (victim === job) return false;
  if (rank(victim.spec.priority) < rank(job.spec.priority)) return true;
  return (
    victim.spec.team !== job.spec.team &&
    w.quota.within(job.spec, job.free.size) &&
    w.quota.borrows(victim.spec.team)
  );
}

/** Work lost if the task were stopped now, in GPU- or CPU-seconds; saved work counts as its saving time only. */
function lost(i: Intent, job: Job, now: Now): number {
  const ran = i.runningSince === null ? 0 : toSeconds(now.steady - i.runningSince);
  const each = Math.max(job.spec.gpus, job.spec.cpus / 16);
  const size = job.spec.kind === 'gang' ? job.spec.tasks : 1;
  const cost = job.spec.checkpoint > 0n ? Math.min(ran, toSeconds(job.spec.save)) : ran;
  return (rank(job.spec.priority) * 10_000 + cost + 1) * each * size;
}

export function graceFor(job: Job): number {
  return job.spec.checkpoint > 0n ? toSeconds(job.spec.save) + 1 : 0;
}

/** Stops what must make room for blocked jobs, counting first what is already on its way out. */
export function preempt(w: World, blocked: readonly Job[], now: Now): void {
  const rooms: Room[] = [];
  for (const m of w.machines.values()) {
    if (!usable(w, m, now.steady)) continue;
    const r = freeOn(w, m);
    for (const i of m.intents.values()) {
      const job = w.jobs.get(i.job);
      if (job !== undefined && i.stopping !== null) add(r, job, 1);
    }
    rooms.push({ machine: m, r });
  }
  const victims = new Set<Intent>();
  for (const job of blocked) {
    if (job.notBefore > now.steady || (job.spec.kind === 'gang' && job.placedCount > 0)) continue;
    const all = job.spec.kind === 'gang';
    if (!w.quota.allows(job.spec, all ? job.spec.tasks : 1)) continue;
    const chosen = planRoom(w, job, rooms, victims, now, all);
    for (const i of chosen) victims.add(i);
  }
  for (const i of victims) {
    const job = w.jobs.get(i.job);
    if (job === undefined || i.stopping !== null) continue;
    note(
      w,
      'stopped to make room',
      { task: `${i.job}/${i.task}`, machine: i.machine, class: job.spec.class },
      'info',
    );
    const grace = graceFor(job);
    if (job.spec.kind === 'gang')
      for (const other of intentsOf(job)) stopIntent(w, other, grace, 'preempted', now.steady);
    else stopIntent(w, i, grace, 'preempted', now.steady);
  }
}

function add(r: Free, job: Job, sign: 1 | -1): void {
  r.cpus += sign * job.spec.cpus;
  r.gpus += sign * job.spec.gpus;
  r.memory += sign * job.spec.memory;
}

interface Offer {
  readonly room: Room;
  readonly victims: Intent[];
  readonly cost: number;
}

function planRoom(
  w: World,
  job: Job,
  rooms: Room[],
  already: ReadonlySet<Intent>,
  now: Now,
  all: boolean,
): Intent[] {
  const taken = zonesTaken(job);
  const booked: Offer[] = [];
  for (let n = 0; n < job.free.size; n++) {
    let best: Offer | null = null;
    for (const room of rooms) {
      if (!machineAllowed(job.spec, room.machine) || !zoneAllowed(job, room.machine.zone, taken)) continue;
      const offer = offerOf(w, job, room, already, booked, now);
      if (offer !== null && (best === null || offer.cost < best.cost)) best = offer;
    }
    if (best === null) break;
    for (const v of best.victims) {
      const j = w.jobs.get(v.job);
      if (j !== undefined) add(best.room.r, j, 1);
    }
    add(best.room.r, job, -1);
    taken.set(best.room.machine.zone, (taken.get(best.room.machine.zone) ?? 0) + 1);
    booked.push(best);
  }
  if (all && booked.length < job.free.size) {
    // Not all fit even so: nothing is stopped, and the room is given back to the next job's planning.
    for (const b of booked) {
      add(b.room.r, job, 1);
      for (const v of b.victims) {
        const j = w.jobs.get(v.job);
        if (j !== undefined) add(b.room.r, j, -1);
      }
    }
    return [];
  }
  return booked.flatMap((b) => b.victims);
}

function offerOf(
  w: World,
  job: Job,
  room: Room,
  already: ReadonlySet<Intent>,
  booked: readonly Offer[],
  now: Now,
): Offer | null {
  if (fits(job.spec, room.r)) return { room, victims: [], cost: 0 };
  const used = new Set([...already, ...booked.flatMap((b) => b.victims)]);
  const open: { i: Intent; job: Job; cost: number }[] = [];
  for (const i of room.machine.intents.values()) {
    const j = w.jobs.get(i.job);
    if (j === undefined || i.stopping !== null || used.has(i) || !mayTake(w, job, j)) continue;
    open.push({ i, job: j, cost: lost(i, j, now) });
  }
  open.sort((a, b) => a.cost - b.cost);
  const r = { ...room.r };
  const victims: Intent[] = [];
  let cost = 0;
  for (const v of open) {
    add(r, v.job, 1);
    victims.push(v.i);
    cost += v.cost;
    if (fits(job.spec, r)) return { room, victims, cost };
  }
  return null;
}
