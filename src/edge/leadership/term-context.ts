/**
 * @file Types of the dependencies of a leader's term and of its components: a term receives the components of the
 * process, and its components receive the term as a context.
 */
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

/** The components and settings of the process that a term needs. */
export interface TermDependencies {
  readonly partition: string;
  /** The value of the leader key while this process is the leader. */
  readonly leaderRecord: LeaderRecord;
  readonly config: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly stateStore: StateStore;
  readonly cloud: CloudClient;
  readonly logger: Logger;
  /** The state store's limit on writes. */
  readonly maxWritesPerSecond: number;
  /** The announced limit that will replace `maxWritesPerSecond` later; `Infinity` if none is announced. */
  readonly announcedMaxWritesPerSecond: number;
  readonly imageObserver: ImageCacheObserver;
  readonly pageCache: DecodedPageCache;
  /** Creates the policy for zones that are lost and recover; null if the feature is off. */
  readonly newZonePolicy: (() => ZonePolicy) | null;
  /** Upper bound on the open connections to workers. */
  readonly maxWorkerConnections: number;
  /** Called when the term has ended, for any reason. */
  readonly onEnd: () => void;
  /** Called when the term was ended so that another controller can become the leader. */
  readonly onStepDown: () => void;
}

/** The result of a successful leader election: how this process became the leader. */
export interface LeadershipGrant {
  /** The mod revision of the claimed leader key. */
  readonly fencingToken: number;
  /**
   * When the claim was sent, in nanoseconds of the monotonic clock; counts as the first confirmation of the
   * leadership.
   */
  readonly claimedAt: bigint;
  /** The lease in the state store to which the leader key is attached. */
  readonly leaseId: number;
  readonly renewIntervalMs: number;
}

/** A term as its own components use it. */
export interface TermContext {
  readonly dependencies: TermDependencies;
  readonly scheduler: ClusterScheduler;
  /** The lease in the state store to which the leader key is attached; it is renewed every `renewIntervalMs`. */
  readonly leaseId: number;
  readonly renewIntervalMs: number;
  /** Passes an event to the core and executes the resulting effects. */
  readonly dispatch: (event: Event) => void;
  /** Ends the term. */
  readonly end: (reason: TermEndReason) => void;
}
