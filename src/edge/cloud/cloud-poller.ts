import type { Subscription } from 'rxjs';
import type { MachineType } from '../../core/model/machine.js';
import { monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { isAborted, pause, supervise } from '../runtime/supervised-task.js';
import type { TermContext } from '../leadership/term-context.js';

/** Asks the cloud for its machines and their types for as long as the term lasts. */
export class CloudPolling {
  private imagesTold = false;

  constructor(private readonly term: TermContext) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    const { log } = this.term.dependencies;
    const routines = supervise('machine list', log, (signal) => this.pollList(signal));
    routines.add(supervise('machine types', log, (signal) => this.pollTypes(signal)));
    return routines;
  }

  private async pollList(signal: AbortSignal): Promise<void> {
    const every = Math.max(2000, Number(this.term.dependencies.facts.inventoryLag) / 1e6);
    while (!signal.aborted) {
      const sent = monotonicNow();
      const machines = await this.term.dependencies.cloud.list(signal);
      if (isAborted(signal)) return;
      if (machines !== null) this.term.event({ kind: 'instance-inventory', machines, requestedAt: sent });
      await pause(machines === null ? jittered(1000) : every, signal);
    }
  }

  /** What this controller saw as a bystander: once, as soon as it is known how fast machines fetch. */
  private tellImages(types: readonly MachineType[]): void {
    this.imagesTold = true;
    const rates = types.map((type) => type.fetchGbPerS).filter((r) => r > 0);
    if (rates.length > 0)
      this.term.event({
        kind: 'images-observed',
        sightings: this.term.dependencies.images.likely(Math.min(...rates)),
      });
  }

  private async pollTypes(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const types = await this.term.dependencies.cloud.types(signal);
      if (isAborted(signal)) return;
      if (types !== null) {
        this.term.event({ kind: 'machine-types', types });
        if (!this.imagesTold) this.tellImages(types);
      }
      await pause(types === null ? jittered(1000) : 60_000, signal);
    }
  }
}
