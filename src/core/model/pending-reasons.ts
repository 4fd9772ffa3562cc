/** @file Pending reasons: why a job has tasks without an assignment, as written to the log. */

/** No machine has capacity for a task. */
export const NO_CAPACITY = 'no capacity';

/** No combination of machines has capacity for all tasks of a gang at once. */
export const NO_GANG_CAPACITY = 'no capacity for all tasks at once';

/** Tasks of lower priority are being stopped on a machine that has the job's image cached. */
export const PREEMPTION_IN_PROGRESS = 'preemption in progress on a machine with the cached image';

/** The team's quota does not allow more tasks. */
export const QUOTA_EXCEEDED = 'team quota';

/** As many tasks are assigned as the leader can hold. */
export const TOO_MANY_ASSIGNMENTS = 'as many tasks assigned as the leader can hold';

/** Machines have capacity, but not in the zones that the job's constraints allow. */
export const ZONE_CONSTRAINTS = 'zone constraints';

/** Tasks of the gang's previous attempt may still be running. */
export const PREVIOUS_ATTEMPT_ENDING = 'tasks of the previous attempt have not all ended';

/** At least one dependency is not done. */
export const WAITING_FOR_DEPENDENCIES = 'waiting for dependencies';

/** No scheduling cycle has considered the job yet. */
export const NOT_CONSIDERED_YET = 'new';

/** Why a job has tasks without an assignment. */
export type PendingReason =
  | typeof NO_CAPACITY
  | typeof NO_GANG_CAPACITY
  | typeof PREEMPTION_IN_PROGRESS
  | typeof QUOTA_EXCEEDED
  | typeof TOO_MANY_ASSIGNMENTS
  | typeof ZONE_CONSTRAINTS
  | typeof PREVIOUS_ATTEMPT_ENDING
  | typeof WAITING_FOR_DEPENDENCIES
  | typeof NOT_CONSIDERED_YET;
