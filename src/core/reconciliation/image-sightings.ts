/** @file Images that another source than a heartbeat shows to be cached on machines. */
import type { ImageSighting } from '../model/events.js';
import { recordImageUse } from '../machines/image-cache.js';
import { getOrAddMachine } from '../machines/machine-registry.js';
import type { Timestamp } from '../model/time.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Takes in cached images, as last used at the beginning of the term: heartbeats since then know better. */
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
