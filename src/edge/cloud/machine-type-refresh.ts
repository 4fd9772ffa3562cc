/**
 * @file Keeps the list of machine types up to date on every controller, because users' submissions are checked
 * against it. The leader's own list for scheduling comes from the cloud poller; this module must never start or stop
 * an instance.
 */
import type { Subscription } from 'rxjs';
import type { MachineType } from '../../core/model/machine.js';
import { jittered } from '../runtime/jitter.js';
import type { Logger } from '../runtime/logger.js';
import { sleep, supervise } from '../runtime/supervised-task.js';
import type { CloudClient } from './cloud-client.js';

const REFRESH_INTERVAL_MS = 300_000;
/** No submission can be accepted until the first list is read, so a failed request is retried soon. */
const RETRY_INTERVAL_MS = 1000;

/** Reads the machine types periodically until unsubscribed; passes each list that could be read to `onTypes`. */
export function startMachineTypeRefresh(
  cloud: Pick<CloudClient, 'listMachineTypes'>,
  logger: Logger,
  onTypes: (types: readonly MachineType[]) => void,
): Subscription {
  return supervise('machine type refresh', logger, async (signal) => {
    while (!signal.aborted) {
      const types = await cloud.listMachineTypes(signal);
      if (types !== null) onTypes(types);
      await sleep(types === null ? jittered(RETRY_INTERVAL_MS) : REFRESH_INTERVAL_MS, signal);
    }
  });
}
