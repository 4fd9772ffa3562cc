/** @file Machines: types that the cloud offers, instances as the cloud lists them, and what the leader knows of each. */
import type { Assignment } from './assignment.js';
import type { ReportedTask } from './heartbeat.js';
import type { Resources } from './resources.js';
import type { Duration, MonotonicTime } from './time.js';

/** A type of machine that the cloud offers. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memory: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootTime: Duration;
  readonly zones: readonly string[];
}

/** A machine as the cloud's inventory lists it. */
export interface CloudInstance {
  readonly name: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly age: Duration;
}

/** A machine as the leader knows it. */
export interface Machine {
  readonly name: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0: no heartbeat seen yet. */
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  /** When a spot machine is announced to be taken away; null: no notice. */
  preemptionAt: MonotonicTime | null;
  /** When this leader last answered a heartbeat, or the last moment at which a previous leader may have. */
  lastAcknowledgedAt: MonotonicTime;
  lastHeartbeatAt: MonotonicTime;
  /** When the first heartbeat of its own accord came in this term; null: none has. */
  firstHeartbeatAt: MonotonicTime | null;
  /** The worker has shown the fencing token of this term: only this leader's answers reach it, and absence counts. */
  fenced: boolean;
  /** Agent epochs up to this one are over: their tasks are gone, and nothing starts in them. */
  lastExpiredEpoch: number;
  readonly assignments: Map<string, Assignment>;
  /** Tasks last reported and not exited, by task key. */
  reportedTasks: Map<string, ReportedTask>;
  readonly cachedImages: Map<string, { gb: number; lastUsedAt: MonotonicTime }>;
  failuresByJob: Map<string, MonotonicTime>;
  quarantined: boolean;
  quarantinedSince: MonotonicTime | null;
  idleSince: MonotonicTime | null;
  /** As last listed by the cloud; null: not listed yet. */
  instanceState: CloudInstance['state'] | null;
  lastListedAt: MonotonicTime | null;
  /** Its scale-in was requested. */
  releasing: boolean;
  /** Preferred for scale-in: it takes new tasks only when nothing else fits. */
  draining: boolean;
  firstSeenAt: MonotonicTime;
  /** Sequence numbers of recently answered heartbeats of this agent epoch: the same number again is a duplicate. */
  answeredSequences: number[];
  /** Answers in a row that carried a start command of which the next heartbeats showed nothing. */
  unacknowledgedStarts: number;
  unacknowledgedSequence: number;
  /** Since when its heartbeats come while nothing shows that commands reach it; null: commands do reach it. */
  unreachableSince: MonotonicTime | null;
  probedAt: MonotonicTime | null;
  /**
   * Free resources, computed again after a change (null). `free` is what no assigned or reported task takes;
   * `projected` adds what tasks that are being stopped will free.
   */
  resources: { readonly free: Resources; readonly projected: Resources } | null;
  /** It reports tasks that no assignment covers; they take resources too. */
  hasOrphanedTasks: boolean;
}
