/**
 * @file Checks whether a job can ever run, regardless of the state of the cluster. Pure: it reads no state and sends
 * nothing.
 */
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { JobRecord, JobSpec } from '../../core/model/job.js';
import type { MachineType } from '../../core/model/machine.js';
import { fitsQuota } from '../../core/state/team-quotas.js';
import { encodeJob, storedBytes } from '../../wire/job-record.js';

/** The part of the configuration that submissions are checked against. */
export type SubmissionLimits = Pick<ClusterConfig, 'teams' | 'maxValueBytes' | 'maxAssignments'>;

/** Returns why the job is rejected permanently, or null if it is not. While no machine types are known, any may fit. */
export function rejectionReason(
  spec: JobSpec,
  limits: SubmissionLimits,
  machineTypes: readonly MachineType[],
): string | null {
  if (!limits.teams.some((team) => team.name === spec.team)) return `unknown team ${spec.team}`;
  if (!fitsQuota(spec, limits.teams)) return 'more than the limit of its team';
  if (machineTypes.length > 0 && !machineTypes.some((type) => fitsType(spec, type)))
    return 'a task fits no machine type it may use';
  if (spec.kind !== 'array' && spec.taskCount > limits.maxAssignments)
    return 'more tasks at once than a controller can hold';
  if (largestRecordBytes(spec) > limits.maxValueBytes)
    return 'too large for a record, with the jobs to wait for';
  return null;
}

const fitsType = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
  (spec.zone === null || type.zones.includes(spec.zone)) &&
  spec.cpus <= type.cpus &&
  spec.gpus <= type.gpus &&
  spec.memory <= type.memory;

/**
 * Returns the size in bytes of the largest record that the job can ever have. A job whose record fits only while the
 * job is open could neither be cancelled nor, if a dependency is cancelled, be closed.
 */
function largestRecordBytes(spec: JobSpec): number {
  const record: JobRecord = { spec, submittedAt: new Date(), status: 'cancelled' };
  return storedBytes(encodeJob(record));
}
