import { Subscription } from 'rxjs';
import type { OperatorSettings } from '../core/model.js';
import { serve } from './api.js';
import { millisecondsSince, monotonicNow } from './clock.js';
import { Cloud } from './cloud.js';
import { RequestHandler } from './request-handler.js';
import { supervise, messageOf, pause } from './supervised-task.js';
import { DecodedPages } from './decoded-pages.js';
import { EndedJobs } from './ended-jobs.js';
import { zonePolicyFor } from './feature-loader.js';
import type { Features } from './features.js';
import { ImagesSeen } from './images.js';
import { isHealthy } from './health.js';
import { jittered } from './jitter.js';
import type { Log } from './log.js';
import { Memory } from './memory.js';
import { Ownership } from './ownership.js';
import { Peers } from './peers.js';
import { factsOf, type Platform } from './settings.js';
import { shareSockets } from './sockets.js';
import { Store } from './store.js';
import { Versions } from './versions.js';

/** The one part of today; names and keys leave room for more. */
const PART = 'all';
/** A controller: everything it does hangs on the subscription that this returns. */
export function startService(
  p: Platform,
  settings: OperatorSettings,
  features: Features,
  log: Log,
  onFatal: (why: string) => void,
): Subscription {
  const facts = factsOf(p);
  const store = new Store(p.external.state, log);
  const cloud = new Cloud(p.external.cloud, p.facts.cloud.rps, log);
  const memory = new Memory(p.facts.limits?.memory_mb ?? null, log);
  const sockets = shareSockets(p.facts.limits?.max_sockets ?? null);
  const versions = new Versions(
    store,
    p.label,
    p.known.map((peer) => peer.label),
    log,
  );
  const requests = new RequestHandler(store, facts, versions, log, () => memory.tight);
  const incarnation = `${p.label}-${new Date().getTime()}-${monotonicNow()}`;
  const pages = new DecodedPages();
  const images = new ImagesSeen(store, log, pages, (): boolean => owner.term !== null);
  const owner: Ownership = new Ownership({
    part: PART,
    label: p.label,
    incarnation,
    facts,
    settings,
    store,
    cloud,
    log,
    writeRps: p.facts.state.write_rps,
    nextWriteRps: p.facts.state.next?.write_rps ?? Infinity,
    images,
    pages,
    directs: sockets.direct,
    newZonePolicy: zonePolicyFor(features, facts),
  });

  const peers = new Peers(
    p.internal_addr,
    p.known,
    () => ({
      label: p.label,
      owner: owner.term !== null,
      contactMs: store.freshAt === 0n ? null : millisecondsSince(store.freshAt),
      token: BigInt(owner.term?.token ?? 0),
    }),
    log,
  );
  const healthy = (): boolean =>
    isHealthy({
      ready: requests.ready,
      copyMs: millisecondsSince(store.freshAt),
      leading: owner.term !== null,
      behind: owner.term?.behind === true,
      others: peers.others,
      othersServing: peers.othersServing(),
    });

  const all = new Subscription();
  all.add(memory.start());
  all.add(new EndedJobs(store, requests.counts).start());
  all.add(images.start());
  all.add(store.start());
  all.add(peers.start());
  all.add(versions.start());
  all.add(owner.start());
  all.add(
    supervise('types for users', log, async (signal) => {
      while (!signal.aborted) {
        const types = await cloud.types(signal);
        if (types !== null) requests.types = types;
        await pause(types === null ? jittered(1000) : 300_000, signal);
      }
    }),
  );
  // A controller that is asked nothing still has to know whether the state service answers it.
  all.add(
    supervise('contact', log, async (signal) => {
      while (!signal.aborted) {
        if (store.loaded && millisecondsSince(store.freshAt) > 800) await store.fresh(1000);
        await pause(500, signal);
      }
    }),
  );
  all.add(
    serve({
      addr: p.api_addr,
      requests,
      log,
      healthy,
      sockets,
      coreShare: p.facts.limits?.core_share ?? 1,
      leading: () => owner.term !== null,
      report: (report) => owner.term?.report(report) ?? null,
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
