import type { Resources } from './resources.js';
import type { Duration, MonotonicTime } from './time.js';
import type { Assignment } from './assignment.js';
import type { ReportedTask } from './heartbeat.js';

/** A type of machine that the cloud rents. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootTime: Duration;
  readonly zones: readonly string[];
}

/** A machine as the cloud lists it. */
export interface CloudInstance {
  readonly name: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly age: Duration;
}

/** A machine in the owner's memory. */
export interface Machine {
  readonly name: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0: no report seen yet. */
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  preemptionAt: MonotonicTime | null;
  /** When the last report was answered by us, or when an earlier owner may last have answered one. */
  lastAcknowledgedAt: MonotonicTime;
  lastHeartbeatAt: MonotonicTime;
  /** When its first report of its own accord came in this term; null: none has. */
  firstHeartbeatAt: MonotonicTime | null;
  /** The worker has shown the token of this term: only our answers reach it, and absence counts. */
  fenced: boolean;
  /** Sessions up to this one are over: their tasks are gone, and nothing starts in them. */
  lastExpiredEpoch: number;
  readonly assignments: Map<string, Assignment>;
  /** Tasks last reported and not exited, by key, with their attempt. */
  reportedTasks: Map<string, ReportedTask>;
  readonly cachedImages: Map<string, { gb: number; lastUsedAt: MonotonicTime }>;
  failuresByJob: Map<string, MonotonicTime>;
  quarantined: boolean;
  quarantinedSince: MonotonicTime | null;
  idleSince: MonotonicTime | null;
  instanceState: CloudInstance['state'] | null;
  lastListedAt: MonotonicTime | null;
  releasing: boolean;
  /** The fleet would like to empty it: it is used only when nothing else fits. */
  draining: boolean;
  firstSeenAt: MonotonicTime;
  /** Sequence numbers of reports lately asked to be answered, in this session: the same one again is a copy. */
  answeredSequences: number[];
  /** Answers in a row that carried a `run` of which the next reports showed nothing. */
  unacknowledgedStarts: number;
  unacknowledgedSequence: number;
  /** Its reports come, but nothing shows that what we send reaches it; since when. */
  unreachableSince: MonotonicTime | null;
  probedAt: MonotonicTime | null;
  /** What is free, counted anew after a change: `r` without, `room` with what is being stopped. */
  resources: { readonly free: Resources; readonly projected: Resources } | null;
  /** It reports tasks that no intent covers; they take room too. */
  hasOrphanedTasks: boolean;
}
