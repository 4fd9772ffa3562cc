/** @file The paths that a controller serves to users, workers and health checks. */

/** Paths of the controller's HTTP interface; `cancel` is the last segment below a job's path. */
export const API_PATHS = {
  jobs: '/work',
  cancel: 'withdraw',
  health: '/healthz',
  heartbeat: '/hello',
} as const;
