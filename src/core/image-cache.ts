/** @file Which images a machine has cached. */
import type { ClusterState } from './cluster-state.js';
import type { Machine, Spec } from './model.js';
import type { Steady } from './time.js';

/** Notes that a machine has an image. What it caches is bounded: images that were used longest ago make way. */
export function useImage(
  state: ClusterState,
  machine: Machine,
  spec: Pick<Spec, 'image' | 'imageGb'>,
  now: Steady,
): void {
  const known = machine.images.get(spec.image);
  if (known !== undefined) {
    known.used = now;
    return;
  }
  machine.images.set(spec.image, { gb: spec.imageGb, used: now });
  const room = state.types.get(machine.type)?.cacheGb ?? Infinity;
  let held = 0;
  for (const i of machine.images.values()) held += i.gb;
  while (held > room && machine.images.size > 1) {
    let oldest: string | null = null;
    let at = now + 1n;
    for (const [name, i] of machine.images) if (i.used < at) [oldest, at] = [name, i.used];
    if (oldest === null) return;
    held -= machine.images.get(oldest)?.gb ?? 0;
    machine.images.delete(oldest);
  }
}
