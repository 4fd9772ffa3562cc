/** @file Which images a machine has cached. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../model/machine.js';
import type { JobSpec } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';

/** Notes that a machine has an image. What it caches is bounded: images that were used longest ago make way. */
export function recordImageUse(
  state: ClusterState,
  machine: Machine,
  spec: Pick<JobSpec, 'image' | 'imageGb'>,
  now: MonotonicTime,
): void {
  const known = machine.cachedImages.get(spec.image);
  if (known !== undefined) {
    known.lastUsedAt = now;
    return;
  }
  machine.cachedImages.set(spec.image, { gb: spec.imageGb, lastUsedAt: now });
  const room = state.machines.types.get(machine.type)?.cacheGb ?? Infinity;
  let held = 0;
  for (const i of machine.cachedImages.values()) held += i.gb;
  while (held > room && machine.cachedImages.size > 1) {
    let oldest: string | null = null;
    let at = now + 1n;
    for (const [name, i] of machine.cachedImages) if (i.lastUsedAt < at) [oldest, at] = [name, i.lastUsedAt];
    if (oldest === null) return;
    held -= machine.cachedImages.get(oldest)?.gb ?? 0;
    machine.cachedImages.delete(oldest);
  }
}
