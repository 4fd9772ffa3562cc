/** @file Lower limits of the state store that are announced in advance. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { PageEntry } from '../src/core/model/records.js';
import { CommitLoop } from '../src/edge/leadership/commit-loop.js';
import { createLogger } from '../src/edge/runtime/logger.js';
import { LeaderKey } from '../src/edge/leadership/leader-key.js';
import type { TermContext } from '../src/edge/leadership/term-context.js';
import { SettingsError } from '../src/edge/config/settings-error.js';
import { clusterConfigFrom, readPlatformSettings } from '../src/edge/config/platform-settings.js';
import { decodePage, encodePage } from '../src/wire/page-record.js';
import { CLUSTER_CONFIG, jobSpec } from './fixtures/cluster-config.js';
import { reserveAddress, platformSettings } from './standins/cluster.js';
import { timeAt } from './fixtures/clock.js';
import { createSchedulerWithType } from './fixtures/scheduler.js';

const SMALL = { ...CLUSTER_CONFIG, maxValueBytes: 2048, maxTransactionOperations: 4 };
const JOBS = 14;

/** Returns a page written under the larger limits: its assignments of many jobs exceed the size that is now allowed. */
function largePage(id: number): readonly PageEntry[] {
  return Array.from({ length: JOBS }, (_, n) => ({
    jobId: `req-${id}${n}`,
    chunkIndex: 0,
    record: {
      highestAttempt: 1,
      completedTasks: [],
      assignments: Array.from({ length: 9 }, (_, task) => ({
        ...{ taskIndex: task, attempt: 1, machineName: `n-00000${task}`, agentEpoch: 1, zone: 'east' },
      })),
    },
  }));
}

// The process may end between two transactions, so every assignment must be in a committed page at all times.
test('pages over a lowered limit are split in one transaction each, and no assignment is ever unrecorded', () => {
  const scheduler = createSchedulerWithType({ config: SMALL });
  const ids = [1, 2, 3];
  const committed = new Map(ids.map((id) => [id, encodePage(largePage(id), CLUSTER_CONFIG.zones)]));
  for (const text of committed.values()) assert.ok(text.length > 2048);
  for (const { jobId: id } of ids.flatMap(largePage)) {
    const record = {
      spec: jobSpec(id, { taskCount: 9 }),
      submittedAt: timeAt(0).wall,
      status: 'open' as const,
    };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: 2 }, timeAt(0));
  }
  for (const id of ids)
    scheduler.handle({ kind: 'page-loaded', id, entries: largePage(id), modRevision: 50 }, timeAt(0));
  scheduler.handle({ kind: 'load-completed' }, timeAt(0));
  let modRevision = 100;
  for (let n = 0; n < 20; n++) {
    const transaction = scheduler.nextTransaction(timeAt(5));
    if (transaction === null) break;
    assert.ok(transaction.pages.length <= 4);
    for (const page of transaction.pages)
      committed.set(page.id, encodePage(page.entries, CLUSTER_CONFIG.zones));
    const assignments = [...committed.values()]
      .flatMap(decodePage)
      .flatMap((entry) => entry.record.assignments);
    assert.equal(assignments.length, ids.length * JOBS * 9);
    scheduler.handle({ kind: 'transaction-committed', transaction, modRevision: ++modRevision }, timeAt(5));
  }
  assert.ok(committed.size > ids.length);
  for (const text of committed.values()) assert.ok(text.length <= 2048, `${text.length} bytes`);
  assert.deepEqual(scheduler.state.records.atomicPageGroups, []);
});

test('the smaller of current and announced limits applies from the start; unreadable announced limits are ignored', () => {
  const folder = mkdtempSync(join(tmpdir(), 'limits-'));
  const file = join(folder, 'settings.json');
  const read = (next: unknown): { readonly txnOps: number; readonly valueBytes: number } => {
    const settings = platformSettings('one', reserveAddress(), reserveAddress(), {
      address: reserveAddress(),
    });
    writeFileSync(
      file,
      JSON.stringify({ ...settings, facts: { ...settings.facts, state: { ...settings.facts.state, next } } }),
    );
    const { maxTransactionOperations: txnOps, maxValueBytes: valueBytes } = clusterConfigFrom(
      readPlatformSettings(file),
    );
    return { txnOps, valueBytes };
  };
  assert.deepEqual(read({ value_kb: 2, txn_ops: 3, write_rps: 10 }), { txnOps: 3, valueBytes: 2048 });
  const currentLimits = { txnOps: 4, valueBytes: 4096 };
  for (const next of [
    undefined,
    null,
    7,
    'x',
    { value_kb: -1, txn_ops: 'many' },
    { value_kb: 64, txn_ops: 100 },
  ])
    assert.deepEqual(read(next), currentLimits, JSON.stringify(next));
  assert.deepEqual(
    read({ value_kb: 'x', txn_ops: 2 }),
    { txnOps: 2, valueBytes: 4096 },
    'each limit is checked separately',
  );
  assert.throws(() => read({ value_kb: 1 }), SettingsError);
  rmSync(folder, { recursive: true });
});

// Only the first refused transaction shows that the lower limit has taken effect.
test('after the state store refuses a transaction as too large, the leader keeps to the announced limit', async () => {
  const config = { ...CLUSTER_CONFIG, maxTransactionOperations: 8 };
  const commitIntervalS = async (nextWriteRps: number): Promise<number> => {
    const sentAt: number[] = [];
    const results = [
      { kind: 'refused', reason: 'status 429' },
      { kind: 'committed', revision: 1 },
      { kind: 'committed', revision: 2 },
    ];
    const pages = Array.from({ length: 8 }, (_, id) => ({
      id,
      modRevision: 1,
      version: 1,
      entries: [],
      chunks: [],
    }));
    const transaction = {
      fencingToken: 1,
      jobConditions: new Map(),
      pages,
      completedJobs: [],
      cancelledJobs: [],
    };
    const stateStore = {
      commit: () => {
        sentAt.push(performance.now());
        return Promise.resolve(results[sentAt.length - 1] ?? { kind: 'committed', revision: 3 });
      },
    };
    const context = {
      dependencies: {
        stateStore,
        config,
        partition: 'all',
        maxWritesPerSecond: 18,
        announcedMaxWritesPerSecond: nextWriteRps,
        logger: createLogger('test'),
      },
      scheduler: { nextTransaction: () => transaction, state: { term: {}, jobs: { byId: new Map() } } },
      dispatch: () => undefined,
    } as unknown as TermContext;
    const loop = new CommitLoop(context, new LeaderKey(context)).start();
    while (sentAt.length < 3) await new Promise((done) => setTimeout(done, 20));
    loop.unsubscribe();
    return ((sentAt[2] ?? 0) - (sentAt[1] ?? 0)) / 1000;
  };
  const [unchanged, lowered] = await Promise.all([commitIntervalS(Infinity), commitIntervalS(6)]);
  // Eight changes, at 0.8 of 18 per second and at 0.8 of 6 per second.
  assert.ok(unchanged < 0.8, `${unchanged} s`);
  assert.ok(lowered > 1.1, `${lowered} s`);
});
