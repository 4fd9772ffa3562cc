import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { OperatorSettings } from '../../core/model/operator-settings.js';
import type { ZonePolicy } from '../../core/model/zone-policy.js';
import type { Event, ClusterScheduler } from '../../core/cluster-scheduler.js';
import type { PartRecord } from '../../wire/records.js';
import type { Cloud } from '../cloud/cloud-client.js';
import type { DecodedPages } from '../state-store/decoded-page-cache.js';
import type { ImagesSeen } from '../state-store/image-cache-observer.js';
import type { Log } from '../runtime/logger.js';
import type { Store } from '../state-store/state-store.js';

/** What a term needs of the process. */
export interface TermDependencies {
  readonly part: string;
  readonly record: PartRecord;
  readonly facts: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly store: Store;
  readonly cloud: Cloud;
  readonly log: Log;
  readonly writeRps: number;
  /** What it will be from some moment on; `Infinity` if nothing is announced. */
  readonly nextWriteRps: number;
  readonly images: ImagesSeen;
  readonly pages: DecodedPages;
  /** Makes the policy for zones that are lost and come back; null: the feature is off. */
  readonly newZonePolicy: (() => ZonePolicy) | null;
  /** Connections straight to workers that may be open at once. */
  readonly directs: number;
  readonly onEnd: (why: string) => void;
  /** The part was given up for another controller to take. */
  readonly onAbdicate: () => void;
}

/** A term as its own routines see it. */
export interface TermContext {
  readonly dependencies: TermDependencies;
  readonly owner: ClusterScheduler;
  /** The lease in the state service that the owner's key hangs on, and how often it is renewed. */
  readonly lease: number;
  readonly renewMs: number;
  /** Has the core take in what happened, and carries out what follows. */
  readonly event: (event: Event) => void;
  /** Ends the term. */
  readonly end: (why: string) => void;
}
