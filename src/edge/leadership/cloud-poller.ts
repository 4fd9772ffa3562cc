/**
 * @file Polls the cloud during a leader's term and dispatches the instance inventory and the machine types to the
 * core as events. It owns only the polling intervals; it must never change anything in the cloud.
 */
import type { Subscription } from 'rxjs';
import type { MachineType } from '../../core/model/machine.js';
import { monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { TermContext } from '../leadership/term-context.js';

const MIN_INVENTORY_INTERVAL_MS = 2000;
const MACHINE_TYPES_INTERVAL_MS = 60_000;
const RETRY_DELAY_MS = 1000;

/** Polls the cloud for its instances and machine types while the term lasts. */
export class CloudPoller {
  private imagesReported = false;

  constructor(private readonly term: TermContext) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    const { logger } = this.term.dependencies;
    const routines = supervise('instance inventory', logger, (signal) => this.pollInventory(signal));
    routines.add(supervise('machine types', logger, (signal) => this.pollMachineTypes(signal)));
    return routines;
  }

  private async pollInventory(signal: AbortSignal): Promise<void> {
    const { cloud, config } = this.term.dependencies;
    // The inventory lags behind the cloud, so polling more often than it changes returns nothing new.
    const intervalMs = Math.max(MIN_INVENTORY_INTERVAL_MS, Number(config.inventoryLag) / 1e6);
    while (!signal.aborted) {
      const requestedAt = monotonicNow();
      const machines = await cloud.listInstances(signal);
      if (isAborted(signal)) return;
      if (machines !== null) this.term.dispatch({ kind: 'instance-inventory', machines, requestedAt });
      await sleep(machines === null ? jittered(RETRY_DELAY_MS) : intervalMs, signal);
    }
  }

  private async pollMachineTypes(signal: AbortSignal): Promise<void> {
    const { cloud } = this.term.dependencies;
    while (!signal.aborted) {
      const types = await cloud.listMachineTypes(signal);
      if (isAborted(signal)) return;
      if (types !== null) {
        this.term.dispatch({ kind: 'machine-types', types });
        if (!this.imagesReported) this.reportCachedImages(types);
      }
      await sleep(types === null ? jittered(RETRY_DELAY_MS) : MACHINE_TYPES_INTERVAL_MS, signal);
    }
  }

  /**
   * Dispatches the images that this controller observed as a standby: once, when the first list of machine types with
   * their image fetch rates arrives. The slowest rate counts. If no rate is known, nothing is dispatched.
   */
  private reportCachedImages(types: readonly MachineType[]): void {
    this.imagesReported = true;
    const fetchRates = types.map((type) => type.fetchGbPerS).filter((rate) => rate > 0);
    if (fetchRates.length === 0) return;
    const sightings = this.term.dependencies.imageObserver.likelyCached(Math.min(...fetchRates));
    this.term.dispatch({ kind: 'images-observed', sightings });
  }
}
