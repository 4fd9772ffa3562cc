/**
 * @file Amounts of CPUs, GPUs and memory, and the only arithmetic done on them. Cycles do it millions of times, so that
 * it changes amounts in place and allocates nothing.
 */

/** An amount of each resource. Negative amounts stand for more reserved than there is. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** Amounts that differ by less than this count as equal: fractions of CPUs do not add up exactly. */
export const RESOURCE_EPSILON = 1e-6;

/** Whether a request fits into what is available. */
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

/** A separate amount that is equal to the resources of a task, a machine type or another amount. */
export const copyResources = ({ cpus, gpus, memory }: Readonly<Resources>): Resources => ({
  cpus,
  gpus,
  memory,
});
