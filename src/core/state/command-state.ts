import { type Assignment, attemptKey } from '../model/assignment.js';
import type { ClusterState } from './cluster-state.js';

/** Whether some copy of the intent's `run` may still reach its machine. */
export function startMayStillArrive(state: ClusterState, intent: Assignment): boolean {
  const key = attemptKey(intent.jobId, intent.taskIndex, intent.attempt);
  return (
    state.loose.get(intent.machineName)?.has(key) === true ||
    (state.flying.get(intent.machineName)?.get(key) ?? 0) > 0
  );
}
