import { Subscription } from 'rxjs';
import type { OperatorSettings } from '../core/model/operator-settings.js';
import { startHttpServer } from './http/http-server.js';
import { millisecondsSince, monotonicNow } from './runtime/clock.js';
import { CloudClient } from './cloud/cloud-client.js';
import { RequestHandler } from './http/request-handler.js';
import { supervise, errorMessage, sleep } from './runtime/supervised-task.js';
import { DecodedPageCache } from './state-store/decoded-page-cache.js';
import { FinishedJobCompactor } from './state-store/finished-job-compactor.js';
import { zonePolicyFor } from './config/feature-loader.js';
import type { Features } from './config/features.js';
import { ImageCacheObserver } from './state-store/image-cache-observer.js';
import { isHealthy } from './http/health.js';
import { jittered } from './runtime/jitter.js';
import type { Logger } from './runtime/logger.js';
import { MemoryMonitor } from './runtime/memory-monitor.js';
import { LeaderElection } from './leadership/leader-election.js';
import { PeerLinks } from './peers/peer-links.js';
import { clusterConfigFrom, type PlatformSettings } from './config/platform-settings.js';
import { connectionLimitsFor } from './config/connection-limits.js';
import { StateStore } from './state-store/state-store.js';
import { ControllerVersions } from './state-store/controller-versions.js';

/** The one part of today; names and keys leave room for more. */
const PART = 'all';
/** A controller: everything it does hangs on the subscription that this returns. */
export function startService(
  p: PlatformSettings,
  settings: OperatorSettings,
  features: Features,
  logger: Logger,
  onFatal: (reason: string) => void,
): Subscription {
  const config = clusterConfigFrom(p);
  const stateStore = new StateStore(p.external.state, logger);
  const cloud = new CloudClient(p.external.cloud, p.facts.cloud.rps, logger);
  const memory = new MemoryMonitor(p.facts.limits?.memory_mb ?? null, logger);
  const sockets = connectionLimitsFor(p.facts.limits?.max_sockets ?? null);
  const versions = new ControllerVersions(
    stateStore,
    p.label,
    p.known.map((peer) => peer.label),
    logger,
  );
  const requests = new RequestHandler(stateStore, config, versions, logger, () => memory.underPressure);
  const incarnation = `${p.label}-${new Date().getTime()}-${monotonicNow()}`;
  const pages = new DecodedPageCache();
  const images = new ImageCacheObserver(stateStore, logger, pages, (): boolean => owner.currentTerm !== null);
  const owner: LeaderElection = new LeaderElection({
    partition: PART,
    label: p.label,
    incarnation,
    config,
    settings,
    stateStore,
    cloud,
    logger,
    maxWritesPerSecond: p.facts.state.write_rps,
    announcedMaxWritesPerSecond: p.facts.state.next?.write_rps ?? Infinity,
    imageObserver: images,
    pageCache: pages,
    maxWorkerConnections: sockets.workerCommands,
    newZonePolicy: zonePolicyFor(features, config),
  });

  const peers = new PeerLinks(
    p.internal_addr,
    p.known,
    () => ({
      label: p.label,
      isLeader: owner.currentTerm !== null,
      stateStoreContactMs: stateStore.lastSyncedAt === 0n ? null : millisecondsSince(stateStore.lastSyncedAt),
      fencingToken: BigInt(owner.currentTerm?.fencingToken ?? 0),
    }),
    logger,
  );
  const healthy = (): boolean =>
    isHealthy({
      ready: requests.ready,
      replicaAgeMs: millisecondsSince(stateStore.lastSyncedAt),
      isLeader: owner.currentTerm !== null,
      overloaded: owner.currentTerm?.overloaded === true,
      peerCount: peers.peerCount,
      peersServing: peers.peersServing(),
    });

  const all = new Subscription();
  all.add(memory.start());
  all.add(new FinishedJobCompactor(stateStore, requests.counts).start());
  all.add(images.start());
  all.add(stateStore.start());
  all.add(peers.start());
  all.add(versions.start());
  all.add(owner.start());
  all.add(
    supervise('types for users', logger, async (signal) => {
      while (!signal.aborted) {
        const types = await cloud.listMachineTypes(signal);
        if (types !== null) requests.types = types;
        await sleep(types === null ? jittered(1000) : 300_000, signal);
      }
    }),
  );
  // A controller that is asked nothing still has to know whether the state service answers it.
  all.add(
    supervise('contact', logger, async (signal) => {
      while (!signal.aborted) {
        if (stateStore.loaded && millisecondsSince(stateStore.lastSyncedAt) > 800)
          await stateStore.syncReplica(1000);
        await sleep(500, signal);
      }
    }),
  );
  all.add(
    startHttpServer({
      address: p.api_addr,
      requests,
      logger,
      isHealthy: healthy,
      connectionLimits: sockets,
      coreShare: p.facts.limits?.core_share ?? 1,
      isLeader: () => owner.currentTerm !== null,
      onHeartbeat: (heartbeat) => owner.currentTerm?.onHeartbeat(heartbeat) ?? null,
      leaderLabel: () => {
        const label = owner.leaderLabel();
        return label === p.label ? null : label;
      },
    }).subscribe({
      next: ({ port }) => logger.info({ port }, 'listening'),
      error: (e: unknown) => onFatal(`cannot listen on ${p.api_addr}: ${errorMessage(e)}`),
    }),
  );
  return all;
}
