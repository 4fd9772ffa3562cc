/** @file The constraints of a job's specification on machines and zones, regardless of their free capacity. */
import type { Job, JobSpec } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Candidate } from './candidates.js';

/** What a task of a job requires of a machine. */
export type ResourceShape = Pick<JobSpec, 'cpus' | 'gpus' | 'memory' | 'machineTypes' | 'zone' | 'allowSpot'>;

/** True if every machine without capacity for `smaller` is certain to have none for `larger` either. */
export function needsAtLeast(larger: ResourceShape, smaller: ResourceShape): boolean {
  if (larger.cpus < smaller.cpus || larger.gpus < smaller.gpus || larger.memory < smaller.memory)
    return false;
  if (larger.allowSpot && !smaller.allowSpot) return false;
  if (smaller.zone !== null && larger.zone !== smaller.zone) return false;
  return (
    smaller.machineTypes === null ||
    (larger.machineTypes !== null &&
      larger.machineTypes.every((type) => smaller.machineTypes?.includes(type) === true))
  );
}

/** Whether the job's specification allows the machine. */
export function isMachineAllowed(spec: JobSpec, machine: Machine): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(machine.type)) return false;
  if (machine.spot && !spec.allowSpot) return false;
  return spec.zone === null || spec.zone === machine.zone;
}

/** Upper bound on the tasks of a job in one zone if its tasks must be spread across zones. */
const maxTasksPerZone = (spec: JobSpec): number => Math.ceil(spec.taskCount / 2);

/** Whether spreading allows one more task of the job in a zone that may already have `taskCount` of them. */
export const isSpreadAllowed = (spec: JobSpec, taskCount: number): boolean =>
  !spec.spreadAcrossZones || taskCount + 1 <= maxTasksPerZone(spec);

/** Whether another task of the job may start in the zone. `tasksByZone` counts its assigned and planned tasks. */
export function isZoneAllowed(job: Job, zone: string, tasksByZone: ReadonlyMap<string, number>): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.singleZone)
    for (const [otherZone, taskCount] of tasksByZone) if (taskCount > 0 && otherZone !== zone) return false;
  return isSpreadAllowed(spec, tasksByZone.get(zone) ?? 0);
}

/** Returns the zones to plan one by one if the job needs a single zone, otherwise `[null]` for all zones together. */
export const zonesToPlan = (spec: JobSpec, candidates: readonly Candidate[]): (string | null)[] =>
  spec.singleZone ? [...new Set(candidates.map((candidate) => candidate.machine.zone))].sort() : [null];

/** Returns the candidates in a zone, or all candidates if the zone is null. */
export const candidatesIn = (zone: string | null, candidates: readonly Candidate[]): readonly Candidate[] =>
  zone === null ? candidates : candidates.filter((candidate) => candidate.machine.zone === zone);
