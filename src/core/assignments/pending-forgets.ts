/** @file Exited tasks that workers may forget once the results are committed. */
import { taskKey } from '../model/assignment.js';
import type { MonotonicTime } from '../model/time.js';
import { chunkIndexOf } from '../records/chunks.js';
import type { ClusterState } from '../state/cluster-state.js';
import { getOrCreateMap } from '../state/maps.js';

/** Queues a forget command for an exited task, to be sent once what its chunk now holds is committed. */
export function requestForget(
  state: ClusterState,
  machineName: string,
  jobId: string,
  taskIndex: number,
  attempt: number,
  now: MonotonicTime,
): void {
  const chunk = state.jobs.byId.get(jobId)?.chunks.get(chunkIndexOf(taskIndex));
  const key = taskKey(jobId, taskIndex);
  const forgets = getOrCreateMap(state.commands.pendingForgets, machineName);
  if (forgets.get(key)?.attempt === attempt) return;
  forgets.set(key, {
    jobId,
    taskIndex,
    attempt,
    chunkIndex: chunk?.index ?? null,
    recordVersion: chunk?.version ?? 0,
    requestedAt: now,
  });
}
