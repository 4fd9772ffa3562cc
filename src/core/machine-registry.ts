/** @file The machines that the owner of a part knows. */
import type { ClusterState } from './cluster-state.js';
import type { Machine } from './model.js';
import type { Steady } from './time.js';

/** The machine of that name, made known when it is not. */
export function machineOf(state: ClusterState, name: string, now: Steady): Machine {
  let machine = state.machines.get(name);
  if (machine === undefined) {
    machine = {
      name,
      endpoint: '',
      type: '',
      zone: '',
      spot: false,
      session: 0,
      seq: 0,
      token: 0,
      notice: null,
      answered: state.othersQuiet,
      heard: 0n,
      arrivedAt: null,
      fenced: false,
      deadSession: 0,
      intents: new Map(),
      seen: new Map(),
      images: new Map(),
      faults: new Map(),
      setAside: false,
      setAsideSince: null,
      idleSince: null,
      listed: null,
      listedAt: null,
      returning: false,
      closed: false,
      firstKnown: now,
      asked: [],
      unheeded: 0,
      unheededAt: 0,
      deafSince: null,
      probedAt: null,
      view: null,
      strays: false,
    };
    state.machines.set(name, machine);
    state.longestName = Math.max(state.longestName, encodeURIComponent(name).length);
  }
  return machine;
}
