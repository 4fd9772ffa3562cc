/** @file Commands to workers, and what a heartbeat is answered with. */
import type { MonotonicTime } from './time.js';

/** What a worker is to do with one attempt of a task. */
export interface WorkerCommand {
  readonly op: 'start' | 'stop' | 'forget';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  /** Of a stop: seconds that the task is given for a checkpoint. */
  readonly gracePeriodS?: number;
}

/** What a heartbeat is answered with: it renews the worker's lease and carries the commands for it. */
export interface HeartbeatAnswer {
  readonly fencingToken: number;
  readonly commands: readonly WorkerCommand[];
}

/** An exited task whose result must be committed before the worker may forget it. */
export interface PendingForget {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  /** The chunk that records the result; null: the job or chunk is unknown, so nothing has to be committed first. */
  readonly chunkIndex: number | null;
  /** Version of the chunk that has to be committed first. */
  readonly recordVersion: number;
  readonly requestedAt: MonotonicTime;
}
