/** @file Divides the memory limit of a controller among what a leader must hold for accepted jobs. */

const BYTES_PER_MB = 1024 * 1024;

/** The remaining memory is for the program, machines, connections, and garbage between two collections. */
const OPEN_JOBS_SHARE = 0.3;
/** On a small limit, open jobs may take what this share leaves beside `PROGRAM_MB`. */
const SHARE_WITH_PROGRAM = 0.6;
const PROGRAM_MB = 50;

const ASSIGNMENTS_SHARE = 0.05;
/** Memory of an assignment, with its part of the records in the leader and in the replica. */
const BYTES_PER_ASSIGNMENT = 512;

/** Returns how many bytes open jobs may take under a memory limit, or Infinity if there is no limit. */
export function openJobCapacityBytes(memoryLimitMb: number | null): number {
  if (memoryLimitMb === null) return Infinity;
  const besideProgramMb = SHARE_WITH_PROGRAM * memoryLimitMb - PROGRAM_MB;
  return Math.min(OPEN_JOBS_SHARE * memoryLimitMb, besideProgramMb) * BYTES_PER_MB;
}

/** Returns how many tasks may be assigned at once under a memory limit, or Infinity if there is no limit. */
export const maxAssignments = (memoryLimitMb: number | null): number =>
  memoryLimitMb === null
    ? Infinity
    : Math.floor((ASSIGNMENTS_SHARE * memoryLimitMb * BYTES_PER_MB) / BYTES_PER_ASSIGNMENT);
