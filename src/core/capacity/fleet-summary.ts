/** @file Logs a summary of the fleet and of the pending jobs for operators. It changes nothing. */
import { countWaitingForgets } from '../commands/forgets.js';
import { freeResourcesOf, isUsable } from '../machines/free-resources.js';
import type { LogFields } from '../model/effects.js';
import type { Job } from '../model/job.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';
import { emitLog } from '../state/log-effects.js';
import { forecastDemand } from './demand-forecast.js';

/** Logs the summary. */
export function logFleetSummary(state: ClusterState, now: Timestamp): void {
  const forecast = forecastDemand(state, now);
  emitLog(
    state,
    'fleet summary',
    {
      ...countMachines(state, now),
      booting: state.machines.booting.size,
      ...countPending(state),
      forecastArriving: Math.round(forecast.arriving),
      forecastFinishing: Math.round(forecast.finishing),
      ...state.commands.counters,
      waitingForgets: [...countWaitingForgets(state)].map(([reason, count]) => `${reason}: ${count}`),
    },
    'info',
  );
}

function countMachines(state: ClusterState, now: Timestamp): Record<string, number> {
  const counts = { onDemand: 0, spot: 0, idle: 0, draining: 0, unusable: 0, freeGpus: 0 };
  for (const machine of state.machines.byName.values()) {
    if (machine.agentEpoch === 0) continue;
    if (!isUsable(state, machine, now.monotonic)) {
      counts.unusable += 1;
      continue;
    }
    counts[machine.spot ? 'spot' : 'onDemand'] += 1;
    if (machine.assignments.size === 0) counts.idle += 1;
    if (machine.draining) counts.draining += 1;
    counts.freeGpus += freeResourcesOf(state, machine).gpus;
  }
  return counts;
}

function countPending(state: ClusterState): LogFields {
  let pendingTasks = 0;
  let oldest: Job | null = null;
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job === undefined) continue;
    pendingTasks += job.unassignedTasks.size;
    if (oldest === null || job.submittedAt < oldest.submittedAt) oldest = job;
  }
  return {
    pendingJobs: state.jobs.pending.size,
    pendingTasks,
    ...(oldest === null ? {} : { oldestPendingJob: oldest.spec.id, pendingReason: oldest.pendingReason }),
  };
}
