/** @file Machines: types that the cloud offers, instances that it lists, and the leader's state of each machine. */
import type { Assignment } from './assignment.js';
import type { ReportedTask } from './heartbeat.js';
import type { Resources } from './resources.js';
import type { Duration, MonotonicTime } from './time.js';

/** A machine type that the cloud offers. */
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

/** An instance as listed in the cloud's inventory. */
export interface CloudInstance {
  readonly name: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly age: Duration;
}

/** The leader's in-memory state of a machine. */
export interface Machine {
  readonly name: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0 until the first heartbeat is received. */
  agentEpoch: number;
  /** Sequence number of the newest heartbeat. */
  sequence: number;
  /** Highest sequence number of a heartbeat that the worker sent by itself in this agent epoch, 0 before the first. */
  ownSequence: number;
  /** The fencing token in the newest heartbeat. */
  fencingToken: number;
  /** Fencing token of this term that is shown to this worker alone, 0 if none is. */
  raisedToken: number;
  /** When the cloud will preempt the spot machine, according to its preemption notice, or null if it has none. */
  preemptionAt: MonotonicTime | null;
  /**
   * Beginning of the worker lease: when this leader last answered a heartbeat or the agent epoch began, or the latest
   * time at which a previous leader may have answered a heartbeat.
   */
  lastAcknowledgedAt: MonotonicTime;
  lastHeartbeatAt: MonotonicTime;
  /** When the worker first sent a heartbeat on its own in this term, or null if it has not. */
  firstHeartbeatAt: MonotonicTime | null;
  /**
   * True once the worker has reported this term's fencing token. It then accepts responses from this leader alone, and
   * the absence of a task from its heartbeats counts.
   */
  hasShownTermToken: boolean;
  /** Agent epochs up to and including this one have ended: their tasks are gone, and no task starts in them. */
  lastExpiredEpoch: number;
  readonly assignments: Map<string, Assignment>;
  /** Tasks in the last heartbeat that have not exited, by task key. */
  reportedTasks: Map<string, ReportedTask>;
  readonly cachedImages: Map<string, { gb: number; lastUsedAt: MonotonicTime }>;
  /** When a task of each job last failed on this machine, by job id. */
  failuresByJob: Map<string, MonotonicTime>;
  quarantined: boolean;
  idleSince: MonotonicTime | null;
  /** State in the cloud's last inventory that listed the machine, or null if none has listed it. */
  instanceState: CloudInstance['state'] | null;
  lastListedAt: MonotonicTime | null;
  /** True while a scale-in request for the machine is in progress. */
  releasing: boolean;
  /** True if the machine is preferred for scale-in: it takes new tasks only when no other machine fits. */
  draining: boolean;
  firstSeenAt: MonotonicTime;
  /** Sequence numbers of recently answered heartbeats in this agent epoch, to detect duplicates. */
  answeredSequences: number[];
  /** Number of consecutive responses with a start command that had no effect in the following heartbeats. */
  unacknowledgedStarts: number;
  /** Sequence number of the heartbeat that last increased `unacknowledgedStarts`. */
  unacknowledgedSequence: number;
  /** Since when heartbeats arrive but nothing shows that commands reach the worker, or null if commands reach it. */
  unreachableSince: MonotonicTime | null;
  probedAt: MonotonicTime | null;
  /**
   * Free resources, or null after a change until they are computed again. `free` is what no assigned or reported task
   * takes; `projected` adds what tasks that are being stopped will free.
   */
  resources: { readonly free: Resources; readonly projected: Resources } | null;
  /** True if the worker reports tasks without an assignment; they take resources too. */
  hasOrphanedTasks: boolean;
}
