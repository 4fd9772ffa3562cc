/** @file The leader's model of the images cached on each machine. It owns `Machine.cachedImages`. */
import type { JobSpec } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Records that a machine has an image. The cache is bounded: the least recently used images are evicted. */
export function recordImageUse(
  state: ClusterState,
  machine: Machine,
  spec: Pick<JobSpec, 'image' | 'imageGb'>,
  now: MonotonicTime,
): void {
  const cached = machine.cachedImages.get(spec.image);
  if (cached !== undefined) {
    cached.lastUsedAt = now;
    return;
  }
  machine.cachedImages.set(spec.image, { gb: spec.imageGb, lastUsedAt: now });
  evictImages(machine, state.machines.types.get(machine.type)?.cacheGb ?? Infinity, now);
}

/** Evicts images until the remaining ones fit into the cache. One image always remains, whatever its size. */
function evictImages({ cachedImages }: Machine, cacheGb: number, now: MonotonicTime): void {
  let usedGb = 0;
  for (const { gb } of cachedImages.values()) usedGb += gb;
  while (usedGb > cacheGb && cachedImages.size > 1) {
    const oldest = leastRecentlyUsed(cachedImages, now);
    if (oldest === null) return;
    usedGb -= cachedImages.get(oldest)?.gb ?? 0;
    cachedImages.delete(oldest);
  }
}

/** Returns the least recently used image (on a tie, the first one added), or null if all were used after `now`. */
function leastRecentlyUsed(images: Machine['cachedImages'], now: MonotonicTime): string | null {
  let oldest: string | null = null;
  let oldestUseAt = now + 1n;
  for (const [image, { lastUsedAt }] of images)
    if (lastUsedAt < oldestUseAt) [oldest, oldestUseAt] = [image, lastUsedAt];
  return oldest;
}
