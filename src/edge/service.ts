import { Subscription } from 'rxjs';
import type { Knobs } from '../core/model.js';
import { serve } from './api.js';
import { millisSince, steady } from './clock.js';
import { Cloud } from './cloud.js';
import { Desk } from './desk.js';
import { duty, messageOf, pause } from './duty.js';
import { jittered } from './jitter.js';
import type { Log } from './log.js';
import { Ownership } from './ownership.js';
import { factsOf, type Platform } from './settings.js';
import { Store } from './store.js';

/** The one part of today; names and keys leave room for more. */
const PART = 'all';
/** Without a word from the state service for this long, a controller no longer asks for users. */
const HEALTH_MS = 15_000;

/** A controller: everything it does hangs on the subscription that this returns. */
export function startService(
  p: Platform,
  knobs: Knobs,
  log: Log,
  onFatal: (why: string) => void,
): Subscription {
  const facts = factsOf(p);
  const store = new Store(p.external.state, log);
  const cloud = new Cloud(p.external.cloud, p.facts.cloud.rps);
  const desk = new Desk(store, facts.teams, log);
  const incarnation = `${p.label}-${new Date().getTime()}-${steady()}`;
  const owner = new Ownership(
    PART,
    p.label,
    incarnation,
    facts,
    knobs,
    store,
    cloud,
    log,
    p.facts.state.write_rps,
  );

  const all = new Subscription();
  all.add(store.start());
  all.add(owner.start());
  all.add(
    duty('types for users', log, async (signal) => {
      while (!signal.aborted) {
        const types = await cloud.types(signal);
        if (types !== null) desk.types = types;
        await pause(types === null ? jittered(1000) : 300_000, signal);
      }
    }),
  );
  // A controller that is asked nothing still has to know whether the state service answers it.
  all.add(
    duty('contact', log, async (signal) => {
      while (!signal.aborted) {
        if (millisSince(store.answeredAt) > 2500) await store.commit([], [], 1000);
        await pause(1000, signal);
      }
    }),
  );
  all.add(
    serve({
      addr: p.api_addr,
      desk,
      log,
      healthy: () => desk.ready && millisSince(store.answeredAt) < HEALTH_MS,
      report: (r) => owner.term?.report(r) ?? null,
      ownerLabel: () => {
        const label = owner.ownerLabel();
        return label === p.label ? null : label;
      },
    }).subscribe({
      next: ({ port }) => log.info({ port }, 'listening'),
      error: (e: unknown) => onFatal(`cannot listen on ${p.api_addr}: ${messageOf(e)}`),
    }),
  );
  return all;
}
