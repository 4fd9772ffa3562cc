/**
 * @file The result of a user request. Only responses.ts derives HTTP statuses and bodies from it, except that
 * user-app.ts answers a malformed submission with status 400.
 */
import type { UserJobStatus } from '../../wire/user-protocol.js';

/** A job as its user sees it. */
export interface JobView {
  readonly id: string;
  readonly status: UserJobStatus;
  readonly completedTasks: number;
  readonly runningTasks: number;
}

/** The result of a request. */
export type RequestResult<T> =
  /**
   * `changedByRequest` is true if this request made the change, and false if an idempotent repeat found it already
   * made.
   */
  | { readonly kind: 'ok'; readonly value: T; readonly changedByRequest: boolean }
  /** Refused permanently. */
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'not-found' }
  /** Refused for now. The user may repeat the request after `retryAfterS` seconds. */
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly reason: string };

/** The result for a job that the request did not change. */
export const existingJob = (view: JobView): RequestResult<JobView> => ({
  kind: 'ok',
  value: view,
  changedByRequest: false,
});

/** The result for a job whose status this request has just set. It reports no completed and no running tasks. */
export const changedJob = (id: string, status: UserJobStatus): RequestResult<JobView> => ({
  kind: 'ok',
  changedByRequest: true,
  value: { id, status, completedTasks: 0, runningTasks: 0 },
});

/** Returns whether the job's status can no longer change. */
export const isFinal = ({ status }: JobView): boolean => status === 'done' || status === 'cancelled';

const unavailable = (retryAfterS: number, reason: string): RequestResult<never> => ({
  kind: 'unavailable',
  retryAfterS,
  reason,
});

/** The state store cannot be reached, or did not answer in time. */
export const STATE_STORE_UNAVAILABLE = unavailable(1, 'the state service does not answer');
/** Too many requests are being served, or too little memory is left. */
export const OVERLOADED = unavailable(1, 'too many requests');
/** The open jobs may take all the memory that a leader has for them. Some have to end first. */
export const TOO_MANY_OPEN_JOBS = unavailable(5, 'too many tasks of open jobs');
/** The cloud has not listed its machine types since this controller started, or the replica is not loaded yet. */
export const MACHINE_TYPES_UNKNOWN = unavailable(2, 'machine types are not known yet');
/** A controller still runs an older version, which would start a job without waiting for its dependencies. */
export const UPGRADE_IN_PROGRESS = unavailable(
  2,
  'not before all controllers run a version that knows dependencies',
);
