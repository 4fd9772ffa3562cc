/**
 * @file Amounts of CPUs, GPUs and memory, and all arithmetic on them. Scheduling cycles run it millions of times, so it
 * changes amounts in place and allocates nothing.
 */

/** An amount of each resource (memory in GB). A negative amount means that more is reserved than exists. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** Tolerance of comparisons, because fractions of CPUs do not add up exactly. */
export const RESOURCE_EPSILON = 1e-6;

/** Whether a request fits into the available resources. */
export function fits(request: Readonly<Resources>, available: Readonly<Resources>): boolean {
  return (
    request.cpus <= available.cpus + RESOURCE_EPSILON &&
    request.gpus <= available.gpus + RESOURCE_EPSILON &&
    request.memory <= available.memory + RESOURCE_EPSILON
  );
}

/** Adds an amount in place. */
export function addResources(total: Resources, amount: Readonly<Resources>): void {
  total.cpus += amount.cpus;
  total.gpus += amount.gpus;
  total.memory += amount.memory;
}

/** Subtracts an amount in place. */
export function subtractResources(total: Resources, amount: Readonly<Resources>): void {
  total.cpus -= amount.cpus;
  total.gpus -= amount.gpus;
  total.memory -= amount.memory;
}

/** Returns a copy of the resources of a task, a machine type or another amount. */
export const copyResources = ({ cpus, gpus, memory }: Readonly<Resources>): Resources => ({
  cpus,
  gpus,
  memory,
});
