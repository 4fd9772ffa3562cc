/**
 * @file Queries the zone policy: whether a job may use a machine, and whether a zone is unavailable. Without a policy
 * all zones are treated alike, and nothing is refused.
 */
import { pendingSeconds } from '../jobs/deadline-slack.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Timestamp, seconds } from '../model/time.js';
import type { ZoneAdmissionRequest } from '../model/zone-policy.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Whether the state of the machine's zone allows the job to use the machine. */
export function zoneAdmits(state: ClusterState, job: Job, machine: Machine, now: Timestamp): boolean {
  const policy = state.zonePolicy;
  return (
    policy === null || policy.admits(machine.zone, machine.name, admissionRequest(job, machine.zone, now))
  );
}

const admissionRequest = (job: Job, zone: string, now: Timestamp): ZoneAdmissionRequest => ({
  kind: job.spec.kind,
  priority: job.priority,
  restrictedToZone: job.spec.zone === zone,
  // A job that was assigned before, such as one that was lost with its zone, is not entitled to a timely start.
  pendingFor: hasStarted(job) ? 0n : seconds(pendingSeconds(job, now)),
});

function hasStarted(job: Job): boolean {
  for (const chunk of job.chunks.values()) if (chunk.highestAttempt > 0) return true;
  return false;
}

/** Whether the scheduler should neither request machines in the zone nor wait for the machines there. */
export const isZoneUnavailable = (state: ClusterState, zone: string): boolean =>
  state.zonePolicy?.isUnavailable(zone) === true;
