/**
 * @file Feature gate for rolling upgrades: each controller announces the features of its version, and a feature is
 * used only once all controllers have announced it.
 */
import type { Subscription } from 'rxjs';
import { versionKey } from '../../wire/keys.js';
import { decodeFeatures, type VersionRecord } from '../../wire/version-record.js';
import { jittered } from '../runtime/jitter.js';
import type { Logger } from '../runtime/logger.js';
import { sleep, supervise } from '../runtime/supervised-task.js';
import type { StateStore } from './state-store.js';

/** DAG dependencies between jobs. */
export const DEPENDENCIES_FEATURE = 'dependencies';

/** The features that this version has and that versions without an announcement lack. */
const FEATURES: readonly string[] = [DEPENDENCIES_FEATURE];

const RETRY_DELAY_MS = 1000;

/**
 * The features of all controllers' versions. During an upgrade, old and new versions run side by side, and an old
 * version would read a record with a new field as a record without it. Therefore each controller announces its
 * features in the state store, under a key that older versions ignore. A controller whose announcement was never seen
 * counts as old; a controller whose announcement was seen keeps its features while it is down.
 */
export class ControllerVersions {
  constructor(
    private readonly stateStore: Pick<StateStore, 'replica' | 'loaded' | 'commit'>,
    private readonly label: string,
    private readonly peerLabels: readonly string[],
    private readonly logger: Logger,
  ) {}

  /** True if every controller's version has the feature, according to the replica. */
  allSupport(feature: string): boolean {
    return [this.label, ...this.peerLabels].every((label) => this.featuresOf(label).includes(feature));
  }

  /** Announces this version's features; completes once the replica shows them. */
  start(): Subscription {
    return supervise('version', this.logger, (signal) => this.announce(signal));
  }

  private featuresOf(label: string): readonly string[] {
    const entry = this.stateStore.replica.get(versionKey(label));
    return entry === undefined ? [] : decodeFeatures(entry.value);
  }

  private isAnnounced(): boolean {
    const announcedFeatures = this.featuresOf(this.label);
    return FEATURES.every((feature) => announcedFeatures.includes(feature));
  }

  private async announce(signal: AbortSignal): Promise<void> {
    const key = versionKey(this.label);
    const value: VersionRecord = { features: [...FEATURES] };
    while (!signal.aborted) {
      if (this.stateStore.loaded) {
        if (this.isAnnounced()) return;
        const modRevision = this.stateStore.replica.get(key)?.modRevision ?? 0;
        await this.stateStore.commit([{ key, modRevision }], [{ kind: 'put', key, value }]);
      }
      await sleep(jittered(RETRY_DELAY_MS), signal);
    }
  }
}
