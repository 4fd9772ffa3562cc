/** @file The time that a stopped task gets to write a checkpoint. */
import type { Job } from '../model/job.js';
import { toSeconds } from '../model/time.js';

/** Seconds that a stopped task of the job gets for its checkpoint; 0: it makes none. */
export function gracePeriodSeconds(job: Job): number {
  return job.spec.checkpointInterval > 0n ? toSeconds(job.spec.checkpointDuration) + 1 : 0;
}
