/**
 * @file Keeps the time of the last contact with the state store up to date on a controller that receives no requests,
 * because health and the refusal of requests depend on that time. It only reads and must never write to the state
 * store.
 */
import type { Subscription } from 'rxjs';
import { millisecondsSince } from '../runtime/clock.js';
import type { Logger } from '../runtime/logger.js';
import { sleep, supervise } from '../runtime/supervised-task.js';
import type { StateStore } from './state-store.js';

const PROBE_INTERVAL_MS = 500;
/** Until the first contact, because a controller that has just started refuses its users until then. */
const FIRST_PROBE_INTERVAL_MS = 50;
/** Requests of users sync the replica too, so a probe is sent only if none of them has done so for this long. */
const MAX_CONTACT_AGE_MS = 800;
const SYNC_TIMEOUT_MS = 1000;

/** Probes the state store until unsubscribed. */
export function startContactProbe(
  stateStore: Pick<StateStore, 'loaded' | 'lastSyncedAt' | 'syncReplica'>,
  logger: Logger,
): Subscription {
  return supervise('state store contact probe', logger, async (signal) => {
    while (!signal.aborted) {
      if (stateStore.loaded && millisecondsSince(stateStore.lastSyncedAt) > MAX_CONTACT_AGE_MS)
        await stateStore.syncReplica(SYNC_TIMEOUT_MS);
      const isFirst = stateStore.lastSyncedAt === 0n;
      await sleep(isFirst ? FIRST_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS, signal);
    }
  });
}
