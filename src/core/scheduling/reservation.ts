/**
 * @file Reservations of capacity for a blocked job within a scheduling cycle. They are subtracted from the projected
 * capacity of candidates, so that jobs of lower priority do not get it while the victims are still stopping.
 */
import type { Assignment } from '../model/assignment.js';
import type { Job } from '../model/job.js';
import { addResources, subtractResources } from '../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Candidate } from './candidates.js';

/** Capacity for one task of a blocked job, and the assignments that must be stopped for it. */
export interface Reservation {
  readonly candidate: Candidate;
  readonly victims: readonly Assignment[];
  /** Cost of stopping the victims and fetching the image, in weighted seconds of lost work. */
  readonly cost: number;
}

/** Subtracts one task of the job from the candidate's projected capacity, and adds the capacity of the victims. */
export function reserve(state: ClusterState, job: Job, { candidate, victims }: Reservation): void {
  subtractResources(candidate.projected, job.spec);
  for (const assignment of victims) {
    const victim = state.jobs.byId.get(assignment.jobId);
    if (victim !== undefined) addResources(candidate.projected, victim.spec);
  }
}

/** Undoes `reserve`. */
export function releaseReservation(state: ClusterState, job: Job, { candidate, victims }: Reservation): void {
  addResources(candidate.projected, job.spec);
  for (const assignment of victims) {
    const victim = state.jobs.byId.get(assignment.jobId);
    if (victim !== undefined) subtractResources(candidate.projected, victim.spec);
  }
}
