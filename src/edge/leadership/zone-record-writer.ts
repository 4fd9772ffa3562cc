/**
 * @file Writes the zone record to the state store for the next leader. It owns the latest record that has not been
 * written yet. Safety does not depend on the record: if it is lost, the next leader starts without it.
 */
import type { Subscription } from 'rxjs';
import { zoneRecordKey } from '../../wire/keys.js';
import { jittered } from '../runtime/jitter.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import { WakeSignal } from '../runtime/wake-signal.js';
import type { LeaderKey } from './leader-key.js';
import type { TermContext } from './term-context.js';

/**
 * The pause after a write, because each write counts against the state store's write rate. It varies randomly between
 * 0.5 and 1.5 times this value.
 */
const WRITE_INTERVAL_MS = 1000;

/** Writes the latest zone record, on condition that this process is the leader and that the record is unchanged. */
export class ZoneRecordWriter {
  private unwritten: { readonly record: unknown } | null = null;
  /** Mod revision of the record after the last write that was answered, 0 before the first. */
  private writtenRevision = 0;
  private readonly wakeSignal = new WakeSignal();

  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    return supervise('zone record writer', this.term.dependencies.logger, (signal) => this.run(signal));
  }

  /** Queues a record to be written; it replaces an earlier record that has not been written yet. */
  save(record: unknown): void {
    this.unwritten = { record };
    this.wakeSignal.wake();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.wakeSignal.wait(WRITE_INTERVAL_MS, signal);
      const next = this.unwritten;
      if (next === null || isAborted(signal)) continue;
      const isWritten = await this.write(next.record);
      // A newer record may have been saved while this one was being written.
      if (isWritten && this.unwritten === next) this.unwritten = null;
      await sleep(jittered(WRITE_INTERVAL_MS), signal);
    }
  }

  /** Writes a record. Returns false if it was not written, or if that is unknown: then it is to be written again. */
  private async write(record: unknown): Promise<boolean> {
    const { stateStore, partition } = this.term.dependencies;
    const key = zoneRecordKey(partition);
    // After a write of unknown outcome the replica shows the record's revision.
    const replicaRevision = stateStore.replica.get(key)?.modRevision ?? 0;
    const modRevision = Math.max(this.writtenRevision, replicaRevision);
    const result = await stateStore.commit(
      [this.key.condition(), { key, modRevision }],
      [{ kind: 'put', key, value: record }],
    );
    if (result.kind !== 'committed') return false;
    this.writtenRevision = result.revision;
    return true;
  }
}
