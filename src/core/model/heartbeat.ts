/** @file Heartbeats of workers, as parsed. */
import type { Duration } from './time.js';

/** A task in a worker's heartbeat. */
export interface ReportedTask {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly state: 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';
  /** Why it exited; null: it has not. */
  readonly exitReason: string | null;
  /** It ended with a checkpoint that the next attempt continues from. */
  readonly checkpointed: boolean;
}

/** A worker's heartbeat: sent by the worker itself, or its answer to commands sent directly. */
export interface Heartbeat {
  readonly machineName: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Counts the agent's restarts: a new epoch begins without tasks. */
  readonly agentEpoch: number;
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** How long a spot machine has left; null: no notice was given. */
  readonly preemptionNotice: Duration | null;
  readonly tasks: readonly ReportedTask[];
}
