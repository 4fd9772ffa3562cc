/** @file The write of the zone record when its outcome is unknown. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { LeaderKey } from '../src/edge/leadership/leader-key.js';
import type { TermContext } from '../src/edge/leadership/term-context.js';
import { ZoneRecordWriter } from '../src/edge/leadership/zone-record-writer.js';
import type { CommitResult } from '../src/edge/state-store/state-store-client.js';
import type { CompareCondition, WriteOperation } from '../src/wire/state-store-protocol.js';
import { onStop, stopTestServices } from './standins/service.js';
import { waitUntil } from './standins/cluster.js';

after(stopTestServices);

/** A state store with the zone record alone, which leaves the first write unanswered. */
class ZoneRecordStore {
  readonly replica = new Map<string, { value: unknown; modRevision: number }>();
  writeCount = 0;
  private revision = 10;

  commit(conditions: readonly CompareCondition[], writes: readonly WriteOperation[]): Promise<CommitResult> {
    const [write] = writes;
    assert.ok(write?.kind === 'put');
    const { modRevision } = conditions.find(({ key }) => key === write.key) ?? {};
    if (modRevision !== (this.replica.get(write.key)?.modRevision ?? 0))
      return Promise.resolve({ kind: 'conflict', failedKeys: [write.key], revision: this.revision });
    this.writeCount += 1;
    this.revision += 1;
    this.replica.set(write.key, { value: write.value, modRevision: this.revision });
    return Promise.resolve(
      this.writeCount === 1
        ? { kind: 'unknown', reason: 'no response in time' }
        : { kind: 'committed', revision: this.revision },
    );
  }
}

test('a zone record whose write got no answer is written again, on condition of its new revision', async () => {
  const stateStore = new ZoneRecordStore();
  const dependencies = { stateStore, partition: 'all', logger: { warn: () => undefined } };
  const scheduler = { state: { term: { fencingToken: 10 } } };
  const context = { dependencies, scheduler } as unknown as TermContext;
  const writer = new ZoneRecordWriter(context, new LeaderKey(context));
  const subscription = writer.start();
  onStop(() => subscription.unsubscribe());
  writer.save({ version: 1, zones: [] });
  await waitUntil('the record is written again', () => stateStore.writeCount === 2);
  writer.save({ version: 1, zones: ['east'] });
  await waitUntil('the next record is written', () => stateStore.writeCount === 3);
  assert.deepEqual(
    [...stateStore.replica.values()].map(({ value }) => value),
    [{ version: 1, zones: ['east'] }],
  );
});
