/** @file The replica of the state store: loading, watching, compaction and malformed responses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import type { KeyChange } from '../src/edge/state-store/replica-view.js';
import type { WatchResult } from '../src/edge/state-store/state-store-client.js';
import { WatchedReplica } from '../src/edge/state-store/watched-replica.js';
import { MalformedMessageError } from '../src/wire/errors.js';
import type { KeyRangePage } from '../src/wire/state-store-protocol.js';

const TIMEOUT_MS = 3000;

/** A client that returns scripted responses; a watch without one waits until it is aborted. */
class ScriptedClient {
  readonly listedAfter: (string | null)[] = [];
  readonly watchedSince: number[] = [];
  aborted = 0;

  constructor(
    private readonly pages: (KeyRangePage | null)[],
    private readonly watches: (WatchResult | Error)[],
  ) {}

  listKeys(after: string | null): Promise<KeyRangePage | null> {
    this.listedAfter.push(after);
    return Promise.resolve(this.pages.shift() ?? null);
  }

  watch(sinceRevision: number, signal: AbortSignal): Promise<WatchResult> {
    this.watchedSince.push(sinceRevision);
    const next = this.watches.shift();
    if (next instanceof Error) return Promise.reject(next);
    if (next !== undefined) return Promise.resolve(next);
    return new Promise((resolve) =>
      signal.addEventListener('abort', () => {
        this.aborted += 1;
        resolve({ kind: 'unavailable' });
      }),
    );
  }
}

const page = (
  revision: number,
  more: boolean,
  ...keys: [key: string, modRevision: number][]
): KeyRangePage => ({
  items: keys.map(([key, modRevision]) => ({ key, value: `${key}@${modRevision}`, modRevision })),
  hasMore: more,
  revision,
});

const changes = (
  revision: number,
  ...keys: [key: string, value: unknown, modRevision: number][]
): WatchResult => ({
  kind: 'changes',
  batch: { events: keys.map(([key, value, modRevision]) => ({ key, value, modRevision })), revision },
});

function replicaOf(client: ScriptedClient): { replica: WatchedReplica; seen: string[] } {
  const replica = new WatchedReplica(client, pino({ level: 'silent' }));
  replica.watchIntervalMs = 0;
  const seen: string[] = [];
  replica.changes.subscribe(({ key, entry }: KeyChange) =>
    seen.push(`${key}:${entry?.modRevision ?? 'deleted'}`),
  );
  return { replica, seen };
}

test('the watch starts at the revision of the first page, and the changes since then make the replica consistent', async () => {
  const client = new ScriptedClient(
    [page(10, true, ['main/a', 3]), page(12, false, ['main/b', 11])],
    [changes(12, ['main/b', 'main/b@11', 11], ['main/a', null, 12])],
  );
  const { replica, seen } = replicaOf(client);
  assert.equal(replica.loaded, false);
  const subscription = replica.start();
  try {
    assert.equal(await replica.waitForRevision(12, TIMEOUT_MS), true);
    assert.deepEqual(client.listedAfter, [null, 'main/a']);
    assert.equal(client.watchedSince[0], 10);
    assert.equal(replica.reloading, false);
    assert.deepEqual([...replica.replica.keys()], ['main/b']);
    assert.deepEqual(
      seen,
      ['main/a:3', 'main/b:11', 'main/a:deleted'],
      'a change that the replica already contains is not announced again',
    );
  } finally {
    subscription.unsubscribe();
  }
});

test('after a compaction all keys are loaded again, and deleted keys are removed', async () => {
  const client = new ScriptedClient(
    [page(10, false, ['main/a', 3], ['main/b', 4]), page(20, false, ['main/b', 15])],
    [{ kind: 'compacted' }],
  );
  const { replica, seen } = replicaOf(client);
  const subscription = replica.start();
  try {
    assert.equal(await replica.waitForRevision(20, TIMEOUT_MS), true);
    assert.deepEqual(seen, ['main/a:3', 'main/b:4', 'main/b:15', 'main/a:deleted']);
  } finally {
    subscription.unsubscribe();
  }
});

test('a malformed watch response restarts the load; the replica does not go back to older values', async () => {
  const client = new ScriptedClient(
    [page(10, false, ['main/a', 9]), page(9, false, ['main/a', 8]), page(9, false, ['main/a', 8])],
    [new MalformedMessageError('watch response', 'body: invalid')],
  );
  const { replica, seen } = replicaOf(client);
  const subscription = replica.start();
  try {
    assert.equal(await replica.waitForRevision(11, 700), false);
    assert.equal(replica.revision, 10);
    assert.deepEqual(seen, ['main/a:9']);
    assert.deepEqual(client.watchedSince.slice(0, 2), [10, 10]);
  } finally {
    subscription.unsubscribe();
  }
});

test('a wait that times out aborts the watch, which may be hanging on a dead connection', async () => {
  const client = new ScriptedClient([page(10, false)], []);
  const { replica } = replicaOf(client);
  const subscription = replica.start();
  try {
    assert.equal(await replica.waitForRevision(10, TIMEOUT_MS), true);
    assert.equal(await replica.waitForRevision(11, 50), false);
    assert.equal(client.aborted, 1);
  } finally {
    subscription.unsubscribe();
  }
});
