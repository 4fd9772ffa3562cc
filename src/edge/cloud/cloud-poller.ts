import type { Subscription } from 'rxjs';
import type { MachineType } from '../../core/model/machine.js';
import { monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { TermContext } from '../leadership/term-context.js';

/** Asks the cloud for its machines and their types for as long as the term lasts. */
export class CloudPoller {
  private imagesTold = false;

  constructor(private readonly term: TermContext) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    const { logger } = this.term.dependencies;
    const routines = supervise('machine list', logger, (signal) => this.pollList(signal));
    routines.add(supervise('machine types', logger, (signal) => this.pollTypes(signal)));
    return routines;
  }

  private async pollList(signal: AbortSignal): Promise<void> {
    const every = Math.max(2000, Number(this.term.dependencies.config.inventoryLag) / 1e6);
    while (!signal.aborted) {
      const sent = monotonicNow();
      const machines = await this.term.dependencies.cloud.listInstances(signal);
      if (isAborted(signal)) return;
      if (machines !== null) this.term.dispatch({ kind: 'instance-inventory', machines, requestedAt: sent });
      await sleep(machines === null ? jittered(1000) : every, signal);
    }
  }

  /** What this controller saw as a bystander: once, as soon as it is known how fast machines fetch. */
  private tellImages(types: readonly MachineType[]): void {
    this.imagesTold = true;
    const rates = types.map((type) => type.fetchGbPerS).filter((r) => r > 0);
    if (rates.length > 0)
      this.term.dispatch({
        kind: 'images-observed',
        sightings: this.term.dependencies.imageObserver.likelyCached(Math.min(...rates)),
      });
  }

  private async pollTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const types = await this.term.dependencies.cloud.listMachineTypes(signal);
      if (isAborted(signal)) return;
      if (types !== null) {
        this.term.dispatch({ kind: 'machine-types', types });
        if (!this.imagesTold) this.tellImages(types);
      }
      await sleep(types === null ? jittered(1000) : 60_000, signal);
    }
  }
}
