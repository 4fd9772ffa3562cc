import type { MonotonicTime } from './time.js';

/** One possible place of a task. It is committed before any `run` for it leaves this process. */
export interface Assignment {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly machineName: string;
  readonly agentEpoch: number;
  readonly zone: string;
  /** The world's version that first holds this intent; recorded once its chunk's committed version reaches it. */
  readonly recordVersion: number;
  readonly createdAt: MonotonicTime;
  phase: AssignmentPhase;
  /** Set when the task is to end here; `grace` goes into the `halt`. */
  stopRequest: {
    readonly gracePeriodS: number;
    readonly reason: string;
    readonly requestedAt: MonotonicTime;
  } | null;
  /** Sequence number of the report whose response last carried the `run`; null if none did. */
  startSentInSequence: number | null;
  /** When the `run` was first sent in this term. */
  startSentAt: MonotonicTime | null;
  runningSince: MonotonicTime | null;
}

/** How far a placed task has come, as reported. */
export type AssignmentPhase = 'assigned' | 'fetching' | 'waiting' | 'running' | 'checkpointing';

/** Names a task. */
export const taskKey = (job: string, task: number): string => `${job}/${task}`;

/** Names one attempt of a task. */
export const attemptKey = (job: string, task: number, attempt: number): string => `${job}/${task}#${attempt}`;
