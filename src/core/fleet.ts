import { zonesTaken } from './jobs.js';
import { freeOn, leaseEnd, usable } from './machines.js';
import type { Job, Machine, MachineType } from './model.js';
import { estimateOf, wantedBy } from './pass.js';
import { fits, zoneAllowed, type Free } from './placement.js';
import { seconds, toSeconds, type Now } from './time.js';
import { note, type RentOrder, type World } from './world.js';

interface Slot {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly r: Free;
  readonly fresh: boolean;
}

const slotKey = (s: { type: string; zone: string; spot: boolean }): string =>
  `${s.type}|${s.zone}|${s.spot ? 's' : 'o'}`;
const whole = (t: MachineType): Free => ({ cpus: t.cpus, gpus: t.gpus, memory: t.memory });

/** How many of a job's waiting tasks need room of their own; the rest can follow them in time. */
function wanted(w: World, job: Job, boot: number, now: Now): number {
  const n = job.free.size;
  if (job.spec.kind !== 'array') return n;
  const estimate = Math.max(estimateOf(w, job), 1);
  const left = wantedBy(w, job) + estimate - now.wall.getTime() / 1000 - boot;
  const each = Math.max(1, Math.floor(Math.max(left, boot) / estimate));
  return Math.ceil(n / each);
}

/** Machines to rent for work that neither free room, nor room coming free, nor machines on their way will hold. */
export function rentals(w: World, blocked: readonly Job[], now: Now): RentOrder[] {
  if (w.types.size === 0 || !w.listSeen) return [];
  const slots = expectedSlots(w, now);
  const orders = new Map<string, { type: string; zone: string; spot: boolean; count: number }>();
  for (const job of blocked) {
    const taken = zonesTaken(job);
    let team = 0;
    const types = [...w.types.values()].filter(
      (t) => job.spec.types === null || job.spec.types.includes(t.name),
    );
    const boot = Math.min(...types.map((t) => toSeconds(t.boot)));
    const need = wanted(w, job, Number.isFinite(boot) ? boot : 0, now);
    for (let n = 0; n < need; n++) {
      if (!w.quota.allows(job.spec, team + 1)) break;
      team += 1;
      const fitting = slots.find(
        (s) =>
          fits(job.spec, s.r) &&
          (!s.spot || job.spec.spot) &&
          (job.spec.types === null || job.spec.types.includes(s.type)) &&
          zoneAllowed(job, s.zone, taken),
      );
      const slot = fitting ?? openSlot(w, job, types, taken, orders, now);
      if (slot === null) break;
      if (fitting === undefined) slots.push(slot);
      slot.r.cpus -= job.spec.cpus;
      slot.r.gpus -= job.spec.gpus;
      slot.r.memory -= job.spec.memory;
      taken.set(slot.zone, (taken.get(slot.zone) ?? 0) + 1);
    }
  }
  return [...orders.values()];
}

function expectedSlots(w: World, now: Now): Slot[] {
  const slots: Slot[] = [];
  for (const m of w.machines.values()) {
    if (!usable(w, m, now.steady)) continue;
    const r = freeOn(w, m);
    for (const i of m.intents.values()) {
      const job = w.jobs.get(i.job);
      if (job === undefined || i.stopping === null) continue;
      r.cpus += job.spec.cpus;
      r.gpus += job.spec.gpus;
      r.memory += job.spec.memory;
    }
    slots.push({ type: m.type, zone: m.zone, spot: m.spot, r, fresh: false });
  }
  const coming = [...w.booting.values()].map((b) => ({ type: b.type, zone: b.zone, spot: b.spot, count: 1 }));
  for (const p of w.renting.values()) coming.push(p.order);
  for (const c of coming) {
    const t = w.types.get(c.type);
    if (t === undefined) continue;
    for (let n = 0; n < c.count; n++)
      slots.push({ type: c.type, zone: c.zone, spot: c.spot, r: whole(t), fresh: false });
  }
  return slots;
}

/** Spot where the job may use it, ordinary otherwise; the cheapest first, not where we were just refused. */
function openSlot(
  w: World,
  job: Job,
  types: readonly MachineType[],
  taken: ReadonlyMap<string, number>,
  orders: Map<string, { type: string; zone: string; spot: boolean; count: number }>,
  now: Now,
): Slot | null {
  const options: { type: MachineType; zone: string; spot: boolean; price: number; have: number }[] = [];
  for (const type of types) {
    if (!fits(job.spec, whole(type))) continue;
    for (const zone of type.zones) {
      if (!zoneAllowed(job, zone, taken)) continue;
      for (const spot of job.spec.spot ? [true, false] : [false]) {
        const refused = w.refused.get(slotKey({ type: type.name, zone, spot }));
        if (refused !== undefined && now.steady - refused < seconds(20)) continue;
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

export function onRefused(w: World, order: RentOrder, now: Now): void {
  w.refused.set(slotKey(order), now.steady);
}

/** Machines with no task and no intent that nothing waits for, and those that never come up. */
export function returns(w: World, blocked: readonly Job[], now: Now): { names: string[]; why: string }[] {
  const out: { names: string[]; why: string }[] = [];
  const idle: string[] = [];
  for (const m of w.machines.values()) {
    if (m.returning || m.intents.size > 0 || m.seen.size > 0) {
      m.idleSince = null;
      continue;
    }
    const why = hopeless(w, m, now);
    if (why !== null) {
      out.push({ names: [m.name], why });
      continue;
    }
    if (m.session === 0) continue;
    m.idleSince ??= now.steady;
    if (now.steady - m.idleSince >= w.knobs.idle && blocked.length === 0 && m.fenced) idle.push(m.name);
  }
  if (idle.length > 0) out.push({ names: idle.slice(0, 100), why: 'idle' });
  return out;
}

function hopeless(w: World, m: Machine, now: Now): string | null {
  if (m.listed === 'failed') return 'failed';
  if (m.session > 0 && m.setAside) return 'set aside';
  if (m.session > 0 && now.steady - m.heard > w.facts.lease * 2n && now.steady > leaseEnd(w, m))
    return 'silent';
  const booting = w.booting.get(m.name);
  const type = w.types.get(m.type);
  if (
    m.session === 0 &&
    booting !== undefined &&
    type !== undefined &&
    now.steady - booting.since > type.boot * 5n
  )
    return 'never came up';
  return null;
}

export function logRent(w: World, o: RentOrder): void {
  note(w, 'renting', { type: o.type, zone: o.zone, spot: o.spot, count: o.count }, 'info');
}
