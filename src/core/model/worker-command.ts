import type { MonotonicTime } from './time.js';

/** What a worker is told to do with one attempt of a task. */
export interface WorkerCommand {
  readonly op: 'start' | 'stop' | 'forget';
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
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
  readonly chunkIndex: number | null;
  readonly recordVersion: number;
  readonly requestedAt: MonotonicTime;
}
