import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Event } from '../../core/events.js';
import type { ClusterScheduler } from '../../core/cluster-scheduler.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { DecodedPageCache } from '../state-store/decoded-page-cache.js';
import type { ImageCacheObserver } from '../state-store/image-cache-observer.js';
import type { Logger } from '../runtime/logger.js';
import type { StateStore } from '../state-store/state-store.js';

/** What a term needs of the process. */
export interface TermDependencies {
  readonly partition: string;
  readonly leaderRecord: LeaderRecord;
  readonly config: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly stateStore: StateStore;
  readonly cloud: CloudClient;
  readonly logger: Logger;
  readonly maxWritesPerSecond: number;
  /** What it will be from some moment on; `Infinity` if nothing is announced. */
  readonly announcedMaxWritesPerSecond: number;
  readonly imageObserver: ImageCacheObserver;
  readonly pageCache: DecodedPageCache;
  /** Makes the policy for zones that are lost and come back; null: the feature is off. */
  readonly newZonePolicy: (() => ZonePolicy) | null;
  /** Connections straight to workers that may be open at once. */
  readonly maxWorkerConnections: number;
  readonly onEnd: (reason: string) => void;
  /** The part was given up for another controller to take. */
  readonly onStepDown: () => void;
}

/** A term as its own routines see it. */
export interface TermContext {
  readonly dependencies: TermDependencies;
  readonly scheduler: ClusterScheduler;
  /** The lease in the state service that the owner's key hangs on, and how often it is renewed. */
  readonly leaseId: number;
  readonly renewIntervalMs: number;
  /** Has the core take in what happened, and carries out what follows. */
  readonly dispatch: (event: Event) => void;
  /** Ends the term. */
  readonly end: (reason: string) => void;
}
