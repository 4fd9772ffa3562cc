import type { Duration } from './time.js';

/** A task as a worker reports it. */
export interface ReportedTask {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly state: 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';
  readonly exitReason: string | null;
  readonly checkpointed: boolean;
}

/** A worker's report, from whichever connection it came. */
export interface Heartbeat {
  readonly machineName: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly fencingToken: number;
  readonly preemptionNotice: Duration | null;
  readonly tasks: readonly ReportedTask[];
}
