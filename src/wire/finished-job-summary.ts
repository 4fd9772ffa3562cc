/** @file What a replica keeps in memory of a finished job in place of its record. It is never stored. */
import type { JobKind, JobStatus } from '../core/model/job.js';
import { decodeJob } from './job-record.js';

/** What is kept of a job that is over and of which no task is assigned any more. */
export class FinishedJobSummary {
  constructor(
    readonly status: 'done' | 'cancelled',
    readonly kind: JobKind,
    readonly taskCount: number,
  ) {}
}

/** What is known of any job, finished or not. */
export interface JobSummary {
  readonly status: JobStatus;
  readonly kind: JobKind;
  readonly taskCount: number;
}

/** The summary of a job by its value in the replica, whether that is its record or already its summary. */
export function jobSummaryOf(value: unknown): JobSummary {
  if (value instanceof FinishedJobSummary) return value;
  const { spec, status } = decodeJob(value);
  return { status, kind: spec.kind, taskCount: spec.taskCount };
}
