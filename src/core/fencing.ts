/** @file Making sure that machines obey this term alone. */
import { type ClusterState, isBehind, runKey } from './cluster-state.js';
import { neverSent } from './intents.js';
import { type Machine, taskKey } from './model.js';
import { mayStart } from './ownership-timing.js';
import { type Now, seconds } from './time.js';

/** Machines asked in one go: after a takeover of a large fleet all of them would otherwise be called at once. */
const FENCE_AT_ONCE = 50;

/** While workers are still finding their way to us, or the process is behind, only so many are called. */
const FENCE_BUSY = 1;

/** With no machine arriving for so long, those that have not are not on their way by themselves. */
const FENCE_QUIET = seconds(1);

/**
 * How long a machine that reports to us has to show this term's token by itself: a higher token makes it report again
 * half a second later.
 */
const SHOWS_TOKEN = seconds(1.5);

/**
 * Asks machines that have not shown this term's token to take it: it is raised before anything else is done. A machine
 * whose reports come shows it by itself in the one after the first that is answered, so it is asked only when it does
 * not; a direct call costs several times as much as a report. Those with work to do are asked first.
 */
export function fence(state: ClusterState, now: Now): void {
  const asked: Machine[] = [];
  for (const machine of state.machines.values()) {
    if (
      machine.fenced ||
      machine.endpoint === '' ||
      machine.listed === 'booting' ||
      machine.listed === 'failed'
    )
      continue;
    if (machine.probedAt !== null && now.steady - machine.probedAt < seconds(2)) continue;
    if (machine.arrivedAt !== null && now.steady - machine.arrivedAt < SHOWS_TOKEN) continue;
    asked.push(machine);
  }
  const coming = now.steady - state.lastArrival < FENCE_QUIET;
  const most = coming || isBehind(state) ? FENCE_BUSY : FENCE_AT_ONCE;
  if (asked.length > most) asked.sort((a, b) => b.intents.size - a.intents.size);
  for (const machine of asked.slice(0, most)) {
    machine.probedAt = now.steady;
    state.effects.push({
      kind: 'direct',
      machine: machine.name,
      session: Math.max(machine.session, 1),
      orders: [],
    });
  }
}

/** Whether some copy of a `run` blocks progress and only a higher token can settle that it never comes. */
export function wantsHigherToken(state: ClusterState, now: Now): string | null {
  if (now.steady - state.raisedAt < state.facts.lease / 2n || !mayStart(state.contact, now.steady))
    return null;
  for (const [name, loose] of state.loose) {
    const machine = state.machines.get(name);
    if (machine === undefined || loose.size === 0 || now.steady - machine.heard > state.facts.report * 3n)
      continue;
    for (const forget of state.forgets.get(name)?.values() ?? [])
      if (loose.has(runKey(forget.job, forget.task, forget.attempt)))
        return `a result on ${name} cannot be forgotten`;
    for (const intent of machine.intents.values())
      if (
        intent.stopping !== null &&
        !machine.seen.has(taskKey(intent.job, intent.task)) &&
        !neverSent(state, intent)
      )
        return `a stop on ${name} cannot be proven`;
  }
  return null;
}
