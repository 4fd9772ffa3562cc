/** @file Which machines take tasks now, and what is free on them. */
import type { ClusterState } from './cluster-state.js';
import { leaseEnd } from './leases.js';
import type { Machine, Spec } from './model.js';
import type { Free } from './placement.js';
import { type Steady, seconds } from './time.js';

/** Whether a task may be placed here now. */
export function isUsable(state: ClusterState, machine: Machine, now: Steady): boolean {
  if (!machine.fenced || machine.session === 0 || machine.session <= machine.deadSession) return false;
  if (
    machine.setAside ||
    machine.returning ||
    machine.notice !== null ||
    machine.listed === 'failed' ||
    machine.deafSince !== null
  )
    return false;
  // Without an answer to it the worker goes on to its next session soon, and what it holds is gone.
  if (now >= leaseEnd(state, machine)) return false;
  return now - machine.heard <= (state.facts.report * 5n) / 2n + seconds(1) && state.types.has(machine.type);
}

/** What is free on a machine, counted again only after a change there. */
export function viewOf(state: ClusterState, machine: Machine): { readonly r: Free; readonly room: Free } {
  machine.view ??= countFree(state, machine);
  return machine.view;
}

/** r_i: what neither an intent nor a reported task takes. Callers do not change it. */
export const freeOn = (state: ClusterState, machine: Machine): Readonly<Free> => viewOf(state, machine).r;

function countFree(state: ClusterState, machine: Machine): { r: Free; room: Free } {
  const type = state.types.get(machine.type);
  if (type === undefined)
    return { r: { cpus: 0, gpus: 0, memory: 0 }, room: { cpus: 0, gpus: 0, memory: 0 } };
  const r: Free = { cpus: type.cpus, gpus: type.gpus, memory: type.memory };
  const room: Free = { ...r };
  const take = (from: Free, spec: Spec): void => {
    from.cpus -= spec.cpus;
    from.gpus -= spec.gpus;
    from.memory -= spec.memory;
  };
  for (const intent of machine.intents.values()) {
    const job = state.jobs.get(intent.job);
    if (job === undefined) continue;
    take(r, job.spec);
    if (intent.stopping === null) take(room, job.spec);
  }
  if (machine.strays)
    for (const [key, task] of machine.seen) {
      const intent = machine.intents.get(key);
      const job = state.jobs.get(task.job);
      if (job === undefined || (intent !== undefined && intent.attempt === task.attempt)) continue;
      take(r, job.spec);
      take(room, job.spec);
    }
  return { r, room };
}
