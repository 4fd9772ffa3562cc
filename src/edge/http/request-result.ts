/** @file What becomes of a user's request. Statuses and bytes of responses follow from it in responses.ts alone. */
import type { UserJobStatus } from '../../wire/user-protocol.js';

/** A job as its user sees it. */
export interface JobView {
  readonly id: string;
  readonly status: UserJobStatus;
  readonly completedTasks: number;
  readonly runningTasks: number;
}

/** What became of a request. */
export type RequestResult<T> =
  /** `created`: this request made the change, where an idempotent repeat finds it made. */
  | { readonly kind: 'ok'; readonly value: T; readonly changedByRequest: boolean }
  /** Refused for good. */
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'not-found' }
  /** Not now: the user may repeat the request after so many seconds. */
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly reason: string };

/** A job as it was found. */
export const existingJob = (view: JobView): RequestResult<JobView> => ({
  kind: 'ok',
  value: view,
  changedByRequest: false,
});

/** A job to which the request has just given a status; nothing of it runs. */
export const changedJob = (id: string, status: UserJobStatus): RequestResult<JobView> => ({
  kind: 'ok',
  changedByRequest: true,
  value: { id, status, completedTasks: 0, runningTasks: 0 },
});

/** Whether the job's status can no longer change. */
export const isFinal = ({ status }: JobView): boolean => status === 'done' || status === 'cancelled';

const unavailable = (retryAfterS: number, reason: string): RequestResult<never> => ({
  kind: 'unavailable',
  retryAfterS,
  reason,
});

/** The state store cannot be reached, or did not answer in time. */
export const STATE_STORE_UNAVAILABLE = unavailable(1, 'the state service does not answer');
/** More requests are being served than there is room for. */
export const OVERLOADED = unavailable(1, 'too many requests');
/** The cloud has not listed its machine types since this controller started. */
export const MACHINE_TYPES_UNKNOWN = unavailable(2, 'machine types are not known yet');
/** An older version would start a job without waiting for its dependencies. */
export const UPGRADE_IN_PROGRESS = unavailable(
  2,
  'not before all controllers run a version that knows dependencies',
);
