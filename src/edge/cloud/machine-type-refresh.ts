/**
 * @file Keeps the machine types that users' submissions are checked against up to date, on every controller. The
 * leader's own list for scheduling comes from the cloud poller; this one must never start or stop an instance.
 */
import type { Subscription } from 'rxjs';
import type { MachineType } from '../../core/model/machine.js';
import { jittered } from '../runtime/jitter.js';
import type { Logger } from '../runtime/logger.js';
import { sleep, supervise } from '../runtime/supervised-task.js';
import type { CloudClient } from './cloud-client.js';

const REFRESH_INTERVAL_MS = 300_000;
/** Until the first list is there no submission can be accepted, so a failed call is repeated soon. */
const RETRY_INTERVAL_MS = 1000;

/** Lists the machine types again and again until unsubscribed; `onTypes` gets each list that could be read. */
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
