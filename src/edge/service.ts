/**
 * @file The composition root: builds the components of one controller, connects them and starts them. It must contain
 * no logic of its own; every background task is a component with its own module.
 */
import { Subscription } from 'rxjs';
import type { ClusterConfig } from '../core/model/cluster-config.js';
import type { OperatorSettings } from '../core/model/operator-settings.js';
import { CloudClient } from './cloud/cloud-client.js';
import { startMachineTypeRefresh } from './cloud/machine-type-refresh.js';
import { connectionLimitsFor, type ConnectionLimits } from './config/connection-limits.js';
import { zonePolicyFactory } from './config/feature-loader.js';
import type { Features } from './config/features.js';
import { openJobCapacityBytes } from './config/leader-memory.js';
import { clusterConfigFrom, type PlatformSettings } from './config/platform-settings.js';
import { isHealthy } from './http/health.js';
import { startHttpServer } from './http/http-server.js';
import { RequestHandler } from './http/request-handler.js';
import { LeaderElection } from './leadership/leader-election.js';
import { PeerLinks } from './peers/peer-links.js';
import { millisecondsSince, monotonicNow } from './runtime/clock.js';
import type { Logger } from './runtime/logger.js';
import { MemoryMonitor } from './runtime/memory-monitor.js';
import { errorMessage } from './runtime/supervised-task.js';
import { startContactProbe } from './state-store/contact-probe.js';
import { ControllerVersions } from './state-store/controller-versions.js';
import { DecodedPageCache } from './state-store/decoded-page-cache.js';
import { FinishedJobCompactor } from './state-store/finished-job-compactor.js';
import { ImageCacheObserver } from './state-store/image-cache-observer.js';
import { StateStore } from './state-store/state-store.js';

/** The only partition that exists; names and keys allow for more. */
const PARTITION = 'all';

/** The settings and the logger with which a controller is started. */
interface ServiceOptions {
  readonly platform: PlatformSettings;
  readonly settings: OperatorSettings;
  readonly features: Features;
  readonly logger: Logger;
}

/** The components to which other components are connected. */
interface Components {
  readonly config: ClusterConfig;
  readonly stateStore: StateStore;
  readonly cloud: CloudClient;
  readonly memoryMonitor: MemoryMonitor;
  readonly connectionLimits: ConnectionLimits;
  readonly versions: ControllerVersions;
  readonly requestHandler: RequestHandler;
}

/** Starts a controller. Unsubscribing from the returned subscription ends everything that it runs. */
export function startService(
  platform: PlatformSettings,
  settings: OperatorSettings,
  features: Features,
  logger: Logger,
  onFatal: (reason: string) => void,
): Subscription {
  const options: ServiceOptions = { platform, settings, features, logger };
  const components = createComponents(options);
  const { stateStore, cloud, memoryMonitor, versions, requestHandler } = components;
  const pageCache = new DecodedPageCache();
  const imageObserver = new ImageCacheObserver(
    stateStore,
    logger,
    pageCache,
    (): boolean => election.currentTerm !== null,
  );
  const election: LeaderElection = createElection(options, components, pageCache, imageObserver);
  const peers = createPeerLinks(options, stateStore, election);

  const service = new Subscription();
  service.add(memoryMonitor.start());
  service.add(new FinishedJobCompactor(stateStore, requestHandler.counts).start());
  service.add(imageObserver.start());
  service.add(stateStore.start());
  service.add(peers.start());
  service.add(versions.start());
  service.add(election.start());
  service.add(startMachineTypeRefresh(cloud, logger, (types) => (requestHandler.machineTypes = types)));
  service.add(startContactProbe(stateStore, logger));
  service.add(startApi(options, components, election, peers, onFatal));
  return service;
}

function createComponents({ platform, logger }: ServiceOptions): Components {
  const { external, facts } = platform;
  const config = clusterConfigFrom(platform);
  const stateStore = new StateStore(external.state, logger);
  const cloud = new CloudClient(external.cloud, facts.cloud.rps, logger);
  const memoryLimitMb = facts.limits?.memory_mb ?? null;
  const memoryMonitor = new MemoryMonitor(memoryLimitMb, logger);
  const connectionLimits = connectionLimitsFor(facts.limits?.max_sockets ?? null);
  const peerLabels = platform.known.map((peer) => peer.label);
  const versions = new ControllerVersions(stateStore, platform.label, peerLabels, logger);
  const requestHandler = new RequestHandler(
    stateStore,
    config,
    versions,
    logger,
    () => memoryMonitor.underPressure,
    openJobCapacityBytes(memoryLimitMb),
  );
  return { config, stateStore, cloud, memoryMonitor, connectionLimits, versions, requestHandler };
}

function createElection(
  { platform, settings, features, logger }: ServiceOptions,
  { config, stateStore, cloud, connectionLimits }: Components,
  pageCache: DecodedPageCache,
  imageObserver: ImageCacheObserver,
): LeaderElection {
  const { label, facts } = platform;
  return new LeaderElection({
    partition: PARTITION,
    label,
    incarnation: `${label}-${new Date().getTime()}-${monotonicNow()}`,
    config,
    settings,
    stateStore,
    cloud,
    logger,
    maxWritesPerSecond: facts.state.write_rps,
    announcedMaxWritesPerSecond: facts.state.next?.write_rps ?? Infinity,
    imageObserver,
    pageCache,
    maxWorkerConnections: connectionLimits.workerCommands,
    newZonePolicy: zonePolicyFactory(features, config),
  });
}

function createPeerLinks(
  { platform, logger }: ServiceOptions,
  stateStore: StateStore,
  election: LeaderElection,
): PeerLinks {
  return new PeerLinks(
    platform.internal_addr,
    platform.known,
    () => ({
      label: platform.label,
      isLeader: election.currentTerm !== null,
      stateStoreContactMs: stateStore.lastSyncedAt === 0n ? null : millisecondsSince(stateStore.lastSyncedAt),
      fencingToken: BigInt(election.currentTerm?.fencingToken ?? 0),
    }),
    logger,
  );
}

function startApi(
  { platform, logger }: ServiceOptions,
  { stateStore, requestHandler, connectionLimits }: Components,
  election: LeaderElection,
  peers: PeerLinks,
  onFatal: (reason: string) => void,
): Subscription {
  return startHttpServer({
    address: platform.api_addr,
    requests: requestHandler,
    logger,
    isHealthy: () =>
      isHealthy({
        ready: requestHandler.ready,
        replicaAgeMs: millisecondsSince(stateStore.lastSyncedAt),
        isLeader: election.currentTerm !== null,
        overloaded: election.currentTerm?.overloaded === true,
        peerCount: peers.peerCount,
        peersServing: peers.peersServing(),
      }),
    connectionLimits,
    coreShare: platform.facts.limits?.core_share ?? 1,
    isLeader: () => election.currentTerm !== null,
    onHeartbeat: (heartbeat) => election.currentTerm?.onHeartbeat(heartbeat) ?? null,
    leaderLabel: () => {
      const label = election.leaderLabel();
      return label === platform.label ? null : label;
    },
  }).subscribe({
    next: ({ port }) => logger.info({ port }, 'listening'),
    error: (error: unknown) => onFatal(`cannot listen on ${platform.api_addr}: ${errorMessage(error)}`),
  });
}
