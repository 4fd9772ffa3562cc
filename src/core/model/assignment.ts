/** @file Assignments of tasks to machines, and the keys that identify tasks and attempts. */
import type { MonotonicTime } from './time.js';

/** Progress of an assigned task, as reported by the worker's heartbeats. */
type AssignmentPhase = 'assigned' | 'fetching' | 'waiting' | 'running' | 'checkpointing';

/** A request to stop an assigned task. */
interface StopRequest {
  /** Grace period in seconds in which the task may write a checkpoint. */
  readonly gracePeriodS: number;
  readonly reason: string;
  readonly requestedAt: MonotonicTime;
}

/** How the start command of an assignment last left a controller. */
export type StartDelivery =
  /** It was never sent: the assignment was made in this term. */
  | { readonly kind: 'not-sent' }
  /** A previous leader may have sent it. */
  | { readonly kind: 'previous-leader' }
  /** This leader sent it in a direct call; `CommandState` tracks the outcome. */
  | { readonly kind: 'direct' }
  /** This leader sent it in the response to the heartbeat with this sequence number. */
  | {
      readonly kind: 'response';
      readonly sequence: number;
      readonly fencingToken: number;
      readonly sentAt: MonotonicTime;
    };

/**
 * One attempt of a task, assigned to a machine. It is committed before any start command for it leaves this process;
 * from then on the task counts as possibly running on the machine until the opposite is proven.
 */
export interface Assignment {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly machineName: string;
  readonly agentEpoch: number;
  readonly zone: string;
  /**
   * First `RecordState.version` that includes this assignment. The assignment is committed once its chunk's committed
   * version reaches this value.
   */
  readonly recordVersion: number;
  readonly createdAt: MonotonicTime;
  phase: AssignmentPhase;
  /** The stop request for this attempt, or null if it is not to be stopped. */
  stopRequest: StopRequest | null;
  startDelivery: StartDelivery;
  /** When the start command was first sent in this term, or null if it was not. */
  startSentAt: MonotonicTime | null;
  runningSince: MonotonicTime | null;
}

/** Returns the key that identifies a task. */
export const taskKey = (jobId: string, taskIndex: number): string => `${jobId}/${taskIndex}`;

/** Returns the key that identifies one attempt of a task. */
export const attemptKey = (jobId: string, taskIndex: number, attempt: number): string =>
  `${jobId}/${taskIndex}#${attempt}`;
