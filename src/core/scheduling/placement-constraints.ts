/** @file What a job's specification demands of machines and zones, whatever capacity they have. */
import type { Job, JobSpec } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { Candidate } from './candidates.js';

/** What a job demands of a machine. */
export type ResourceShape = Pick<JobSpec, 'cpus' | 'gpus' | 'memory' | 'machineTypes' | 'zone' | 'allowSpot'>;

/** Whether every machine that has no capacity for `smaller` surely has none for `larger` either. */
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

/** Whether the job's specification admits the machine. */
export function isMachineAllowed(spec: JobSpec, machine: Machine): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(machine.type)) return false;
  if (machine.spot && !spec.allowSpot) return false;
  return spec.zone === null || spec.zone === machine.zone;
}

/** The most tasks of a job that may be in one zone, where its tasks must be spread. */
const maxTasksPerZone = (spec: JobSpec): number => Math.ceil(spec.taskCount / 2);

/** Whether spreading admits one more task of the job in a zone that may hold `taskCount` of them. */
export const isSpreadAllowed = (spec: JobSpec, taskCount: number): boolean =>
  !spec.spreadAcrossZones || taskCount + 1 <= maxTasksPerZone(spec);

/** Whether another task of the job may start in the zone, given in which zones its tasks may be now. */
export function isZoneAllowed(job: Job, zone: string, tasksByZone: ReadonlyMap<string, number>): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.singleZone)
    for (const [otherZone, taskCount] of tasksByZone) if (taskCount > 0 && otherZone !== zone) return false;
  return isSpreadAllowed(spec, tasksByZone.get(zone) ?? 0);
}

/** The zones that are planned one by one for a job that needs a single one; otherwise null: all zones together. */
export const zonesToPlan = (spec: JobSpec, candidates: readonly Candidate[]): (string | null)[] =>
  spec.singleZone ? [...new Set(candidates.map((candidate) => candidate.machine.zone))].sort() : [null];

/** The candidates of a zone; null: all. */
export const candidatesIn = (zone: string | null, candidates: readonly Candidate[]): readonly Candidate[] =>
  zone === null ? candidates : candidates.filter((candidate) => candidate.machine.zone === zone);
