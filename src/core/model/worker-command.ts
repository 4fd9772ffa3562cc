/** @file Commands to workers, and responses to heartbeats. */
import type { MonotonicTime } from './time.js';

/** A command to a worker about one attempt of a task. */
export interface WorkerCommand {
  readonly op: 'start' | 'stop' | 'forget';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  /** Stop commands only: grace period in seconds in which the task may write a checkpoint. */
  readonly gracePeriodS?: number;
}

/** The response to a heartbeat: it renews the worker's lease and carries commands to the worker. */
export interface HeartbeatAnswer {
  readonly fencingToken: number;
  readonly commands: readonly WorkerCommand[];
}

/** An exited task whose result must be committed before the worker may forget it. */
export interface PendingForget {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  /** Chunk that records the result, or null if the job or chunk is unknown and nothing has to be committed first. */
  readonly chunkIndex: number | null;
  /** Version of the chunk that must be committed first. */
  readonly recordVersion: number;
  readonly requestedAt: MonotonicTime;
}
