import { Subscription } from 'rxjs';
import type { OperatorSettings } from '../core/model/operator-settings.js';
import { serve } from './http/http-server.js';
import { millisecondsSince, monotonicNow } from './runtime/clock.js';
import { Cloud } from './cloud/cloud-client.js';
import { RequestHandler } from './http/request-handler.js';
import { supervise, messageOf, pause } from './runtime/supervised-task.js';
import { DecodedPages } from './state-store/decoded-page-cache.js';
import { EndedJobs } from './state-store/finished-job-compactor.js';
import { zonePolicyFor } from './config/feature-loader.js';
import type { Features } from './config/features.js';
import { ImagesSeen } from './state-store/image-cache-observer.js';
import { isHealthy } from './http/health.js';
import { jittered } from './runtime/jitter.js';
import type { Log } from './runtime/logger.js';
import { Memory } from './runtime/memory-monitor.js';
import { Ownership } from './leadership/leader-election.js';
import { Peers } from './peers/peer-links.js';
import { factsOf, type Platform } from './config/platform-settings.js';
import { shareSockets } from './config/connection-limits.js';
import { Store } from './state-store/state-store.js';
import { Versions } from './state-store/controller-versions.js';

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
