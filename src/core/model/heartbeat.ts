/** @file Heartbeats of workers, in parsed form. */
import type { Duration, MonotonicTime } from './time.js';

/** A task as reported in a worker's heartbeat. */
export interface ReportedTask {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly state: 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';
  /** Why the task exited, or null if it has not exited. */
  readonly exitReason: string | null;
  /** True if the task ended with a checkpoint from which the next attempt continues. */
  readonly checkpointed: boolean;
}

/** How a heartbeat reached the leader. */
export type HeartbeatOrigin =
  /** The worker sent it by itself, once it no longer waited for the response to its previous one. */
  | { readonly kind: 'worker' }
  /** The worker answered a direct call with it, at any time after the call was sent. */
  | { readonly kind: 'direct-call'; readonly calledAt: MonotonicTime };

/** A worker's heartbeat, sent by the worker on its own or in its response to commands sent directly. */
export interface Heartbeat {
  readonly machineName: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Counts the agent's restarts. A new epoch begins without tasks. */
  readonly agentEpoch: number;
  /** Sequence number, which increases with each heartbeat of an agent epoch. */
  readonly sequence: number;
  /** Highest fencing token that the worker has received. */
  readonly fencingToken: number;
  /** Time until the preemption of a spot machine, or null if no notice was given. */
  readonly preemptionNotice: Duration | null;
  readonly tasks: readonly ReportedTask[];
}
