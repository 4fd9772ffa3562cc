import { graceFor } from './preempt.js';
import { intentsOf, stopIntent } from './jobs.js';
import type { Machine } from './model.js';
import { estimateOf } from './pass.js';
import { seconds, toSeconds, type Now, type Span } from './time.js';
import { isBehind, note, type World } from './world.js';

/** How long a worker may be silent before it is suspected: reports come up to a quarter late, and packets get lost. */
const suspectAfter = (w: World): Span => (w.facts.report * 5n) / 2n + seconds(1);
/** How long after that it has to answer a direct call. */
const LAST_WORD = seconds(2.5);

const holdsReplica = (w: World, m: Machine): boolean =>
  [...m.intents.values()].some((i) => w.jobs.get(i.job)?.spec.kind === 'service');

const known = (w: World): Machine[] =>
  [...w.machines.values()].filter((m) => m.fenced && !m.returning && m.listed !== 'failed' && m.session > 0);

/** So many machines silent at once that it is more likely we who are cut off: none of them is returned then. */
export function manySilent(w: World, now: Now): boolean {
  const all = known(w);
  const silent = all.filter((m) => now.steady - m.heard > suspectAfter(w)).length;
  return silent > Math.max(1, all.length / 5);
}

/**
 * An owner that still has the state service but hears hardly any worker keeps their leases from being renewed by
 * anybody: the other controllers send the workers back to it. It gives the part up, in time for another to answer
 * before the leases end.
 */
export function isDeaf(w: World, now: Now): boolean {
  if (now.steady - w.began < w.facts.lease / 2n) return false;
  const all = known(w);
  const silent = all.filter((m) => now.steady - m.heard > suspectAfter(w)).length;
  return all.length >= 3 && silent * 4 >= all.length * 3;
}

/**
 * Machines that fell silent with replicas on them. Waiting for the lease would leave users without those replicas, so
 * the machine is asked directly and, if it has no last word, returned: that proves its tasks gone. When many fall
 * silent together it is more likely that we are cut off, and nothing is returned: their leases decide.
 */
export function returnSilent(w: World, now: Now): string[] {
  // In a process that is behind, what is missing may well be here and not yet looked at.
  if (isBehind(w)) return [];
  const after = suspectAfter(w);
  const out = unheard(w, now);
  if (now.steady - w.began < after + w.facts.report * 2n || manySilent(w, now)) return out;
  const silent = known(w).filter((m) => m.session > m.deadSession && now.steady - m.heard > after);
  for (const m of silent) {
    if (!holdsReplica(w, m)) continue;
    if (now.steady - m.heard > after + LAST_WORD) out.push(m.name);
    else w.effects.push({ kind: 'direct', machine: m.name, session: m.session, orders: [] });
  }
  return out;
}

/**
 * Machines with recorded replicas that this owner never heard, while it heard nearly all others with work. An earlier
 * owner may have answered them until shortly before it ended and long after, so their leases prove nothing for most of
 * a minute; a machine that is cut off around a takeover would leave its users without replicas for all that time.
 */
function unheard(w: World, now: Now): string[] {
  if (now.steady - w.began < suspectAfter(w) + w.facts.report * 2n) return [];
  let working = 0;
  const never: Machine[] = [];
  for (const m of w.machines.values()) {
    if (m.intents.size === 0) continue;
    working += 1;
    if (m.heard === 0n && !m.returning) never.push(m);
  }
  if (never.length > Math.max(1, working / 5)) return [];
  return never.filter((m) => holdsReplica(w, m)).map((m) => m.name);
}

const PROBE = seconds(3);

/** A machine that nothing reaches is asked directly now and then: an answer shows that it can be reached again. */
export function probeDeaf(w: World, now: Now): void {
  for (const m of w.machines.values()) {
    if (m.deafSince === null || m.returning || m.endpoint === '' || m.session === 0) continue;
    if (m.probedAt !== null && now.steady - m.probedAt < PROBE) continue;
    m.probedAt = now.steady;
    w.effects.push({ kind: 'direct', machine: m.name, session: m.session, orders: [] });
  }
}

/** Tasks on a machine that is about to be taken: what will not be done by then saves in time and goes elsewhere. */
export function heedNotices(w: World, now: Now): void {
  for (const m of w.machines.values()) {
    if (m.notice === null || !m.fenced) continue;
    const left = toSeconds(m.notice - now.steady);
    for (const i of [...m.intents.values()]) {
      const job = w.jobs.get(i.job);
      if (job === undefined || i.stopping !== null) continue;
      const ran = i.runningSince === null ? 0 : toSeconds(now.steady - i.runningSince);
      const ends =
        i.runningSince !== null && job.spec.kind !== 'service' && estimateOf(w, job) - ran < left - 2;
      const grace = graceFor(job);
      // A notice may be half its nominal length: what has to save is stopped while there surely is time.
      if (ends && left > grace + 2) continue;
      note(
        w,
        'stopped ahead of a spot notice',
        { task: `${i.job}/${i.task}`, machine: m.name, left },
        'info',
      );
      if (job.spec.kind === 'gang')
        for (const other of intentsOf(job)) stopIntent(w, other, grace, 'notice', now.steady);
      else stopIntent(w, i, grace, 'notice', now.steady);
    }
  }
}
