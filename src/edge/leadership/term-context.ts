/** @file What a leader's term and its routines are given: the process's parts, and the term as its routines see it. */
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Event } from '../../core/model/events.js';
import type { ClusterScheduler } from '../../core/cluster-scheduler.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import type { CloudClient } from '../cloud/cloud-client.js';
import type { DecodedPageCache } from '../state-store/decoded-page-cache.js';
import type { ImageCacheObserver } from '../state-store/image-cache-observer.js';
import type { Logger } from '../runtime/logger.js';
import type { StateStore } from '../state-store/state-store.js';
import type { TermEndReason } from './term-end-reason.js';

/** What a term needs of the process. */
export interface TermDependencies {
  readonly partition: string;
  /** What the leader key holds while this process is the leader. */
  readonly leaderRecord: LeaderRecord;
  readonly config: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly stateStore: StateStore;
  readonly cloud: CloudClient;
  readonly logger: Logger;
  /** The state store's limit of writes. */
  readonly maxWritesPerSecond: number;
  /** What that limit will be from some moment on; `Infinity` if nothing is announced. */
  readonly announcedMaxWritesPerSecond: number;
  readonly imageObserver: ImageCacheObserver;
  readonly pageCache: DecodedPageCache;
  /** Makes the policy for zones that are lost and recover; null: the feature is off. */
  readonly newZonePolicy: (() => ZonePolicy) | null;
  /** Connections to workers that may be open at once. */
  readonly maxWorkerConnections: number;
  /** The term has ended, for whatever reason. */
  readonly onEnd: () => void;
  /** The term was ended for another controller to become the leader. */
  readonly onStepDown: () => void;
}

/** How this process became the leader: the result of the election. */
export interface LeadershipGrant {
  /** The mod revision of the claimed leader key. */
  readonly fencingToken: number;
  /** When the claim was sent: the first moment at which the state store surely knew this process as leader. */
  readonly claimedAt: bigint;
  /** The lease in the state store that the leader key hangs on. */
  readonly leaseId: number;
  readonly renewIntervalMs: number;
}

/** A term as its own routines see it. */
export interface TermContext {
  readonly dependencies: TermDependencies;
  readonly scheduler: ClusterScheduler;
  /** The lease in the state store that the leader key hangs on, and how often it is renewed. */
  readonly leaseId: number;
  readonly renewIntervalMs: number;
  /** Hands an event to the core and executes the effects that follow. */
  readonly dispatch: (event: Event) => void;
  /** Ends the term. */
  readonly end: (reason: TermEndReason) => void;
}
