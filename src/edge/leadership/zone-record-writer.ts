import { zoneRecordKey } from '../../wire/keys.js';
import { jittered } from '../runtime/jitter.js';
import type { LeaderKey } from './leader-key.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { Subscription } from 'rxjs';
import type { TermContext } from './term-context.js';
import { WakeSignal } from '../runtime/wake-signal.js';

/** Changes of the record come at most this often: each is one of the state service's changes. */
const EVERY_MS = 1000;

/**
 * Keeps in the state service what the next owner must know of zones: one small record, the newest of those that wait,
 * written under the owner's stamp. If it is lost, the next owner starts afresh.
 */
export class ZoneRecordWriter {
  private newest: { readonly value: unknown } | null = null;
  private readonly wake = new WakeSignal();

  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    return supervise('zones', this.term.dependencies.logger, (signal) => this.run(signal));
  }

  save(value: unknown): void {
    this.newest = { value };
    this.wake.wake();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.wake.wait(EVERY_MS, signal);
      const next = this.newest;
      if (next === null || isAborted(signal)) continue;
      const { stateStore, partition: part } = this.term.dependencies;
      const result = await stateStore.commit(
        [this.key.condition()],
        [{ kind: 'put', key: zoneRecordKey(part), value: next.value }],
      );
      if (result.kind === 'committed' && this.newest === next) this.newest = null;
      await sleep(jittered(EVERY_MS), signal);
    }
  }
}
