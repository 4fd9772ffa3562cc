import type { Subscription } from 'rxjs';
import { decodeFeatures, versionKey, type VersionRecord } from '../../wire/records.js';
import { jittered } from '../runtime/jitter.js';
import type { Logger } from '../runtime/logger.js';
import type { StateStore } from './state-store.js';
import { sleep, supervise } from '../runtime/supervised-task.js';

/** Jobs that wait for jobs. */
export const DEPENDENCIES_FEATURE = 'dependencies';

/** What this version can do beyond the ones that kept no such record. */
const FEATURES: readonly string[] = [DEPENDENCIES_FEATURE];

const RETRY_MS = 1000;

/**
 * What the versions of all controllers can do. During an upgrade old and new versions serve side by side, and an old
 * one would take a record with a new field for one without it. So each controller keeps what it can do in the state
 * service, under a key that older versions pass over, and a feature is used only once every controller has been seen
 * with it. A controller that was never seen counts as old; one that was seen stays so while it is down.
 */
export class ControllerVersions {
  constructor(
    private readonly stateStore: StateStore,
    private readonly label: string,
    private readonly others: readonly string[],
    private readonly logger: Logger,
  ) {}

  /** Whether every controller's version can do it, as far as the followed copy knows. */
  allSupport(feature: string): boolean {
    return [this.label, ...this.others].every((label) => this.featuresOf(label).includes(feature));
  }

  /** Keeps what this version can do, until unsubscribed or done. */
  start(): Subscription {
    return supervise('version', this.logger, (signal) => this.register(signal));
  }

  private featuresOf(label: string): readonly string[] {
    const entry = this.stateStore.replica.get(versionKey(label));
    return entry === undefined ? [] : decodeFeatures(entry.value);
  }

  private async register(signal: AbortSignal): Promise<void> {
    const key = versionKey(this.label);
    const value: VersionRecord = { features: [...FEATURES] };
    while (!signal.aborted) {
      if (this.stateStore.loaded) {
        if (FEATURES.every((feature) => this.featuresOf(this.label).includes(feature))) return;
        const modRevision = this.stateStore.replica.get(key)?.modRevision ?? 0;
        await this.stateStore.commit([{ key, modRevision }], [{ write: key, value }]);
      }
      await sleep(jittered(RETRY_MS), signal);
    }
  }
}
