/** @file Records images that a source other than heartbeats shows to be cached on machines. */
import type { ImageSighting } from '../model/events.js';
import { recordImageUse } from '../machines/image-cache.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/**
 * Records images as cached and last used at the beginning of the term, because heartbeats since then are more accurate.
 */
export function onImagesObserved(
  state: ClusterState,
  sightings: readonly ImageSighting[],
  now: Timestamp,
): void {
  for (const { machineName, image, sizeGb } of sightings) {
    const machine = getOrAddMachine(state, machineName, now.monotonic);
    if (!machine.cachedImages.has(image))
      recordImageUse(state, machine, { image, imageGb: sizeGb }, state.term.startedAt);
  }
}
