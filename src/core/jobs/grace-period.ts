/** @file Computes the time that a stopped task gets to write a checkpoint. */
import type { Job } from '../model/job.js';
import { toSeconds } from '../model/time.js';

/** Returns the seconds that a stopped task of the job gets to write its checkpoint, or 0 if it writes none. */
export function gracePeriodSeconds(job: Job): number {
  return job.spec.checkpointInterval > 0n ? toSeconds(job.spec.checkpointDuration) + 1 : 0;
}
