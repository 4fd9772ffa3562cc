/** @file The summary that a replica keeps in memory in place of a finished job's record. It is never stored. */
import type { JobKind, JobStatus } from '../core/model/job.js';
import { decodeJob } from './job-record.js';

/** The summary of a finished job that has no assigned tasks left. */
export class FinishedJobSummary {
  constructor(
    readonly status: 'done' | 'cancelled',
    readonly kind: JobKind,
    readonly taskCount: number,
  ) {}
}

/** The summary of any job, finished or not. */
export interface JobSummary {
  readonly status: JobStatus;
  readonly kind: JobKind;
  readonly taskCount: number;
}

/** Returns the summary of a job from its value in the replica, which is either its record or already a summary. */
export function jobSummaryOf(value: unknown): JobSummary {
  if (value instanceof FinishedJobSummary) return value;
  const { spec, status } = decodeJob(value);
  return { status, kind: spec.kind, taskCount: spec.taskCount };
}
