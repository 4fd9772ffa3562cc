/** @file Shares of a machine that are used, by its scarcest resource. */
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { Resources } from '../model/resources.js';

/** The largest share of any resource that is in use on a machine with these free resources. */
export const usedShare = (type: MachineType, free: Readonly<Resources>): number =>
  1 - Math.min(free.cpus / type.cpus, type.gpus > 0 ? free.gpus / type.gpus : 1, free.memory / type.memory);

/** The largest share of any resource of a machine that one task takes. */
export const taskShare = (spec: JobSpec, type: MachineType): number =>
  Math.max(spec.cpus / type.cpus, type.gpus > 0 ? spec.gpus / type.gpus : 0, spec.memory / type.memory);
