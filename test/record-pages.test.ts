/** @file The size limit and the round trip of record pages. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decode, encode } from '../src/wire/cbor.js';
import { taskCountsIn, decodePage, encodePage } from '../src/wire/page-record.js';
import { pageKey, parseKey } from '../src/wire/keys.js';
import { CHUNK_TASKS, chunkRecordOf } from '../src/core/records/chunks.js';
import { assignTask } from '../src/core/assignments/assignments.js';
import { getOrAddMachine } from '../src/core/machines/machine-registry.js';
import { pageEntriesOf } from '../src/core/records/record-pages.js';
import { jobSpec } from './fixtures/cluster-config.js';
import { createScheduler } from './fixtures/scheduler.js';

test('a page with the longest names stays below the value limit, and round-trips', () => {
  const scheduler = createScheduler({ startedAt: 0n, previousLeader: 'none' });
  const now = { monotonic: 0n, wall: new Date(0) };
  const zone = 'a-zone-with-a-name';
  for (let n = 0; n < 12; n++) {
    const id = `req-00000${n}`;
    const record = {
      spec: jobSpec(id, { taskCount: 100_000 }),
      submittedAt: now.wall,
      status: 'open' as const,
    };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: n + 1 }, now);
  }
  const machine = getOrAddMachine(scheduler.state, 'n-000000231', 0n);
  machine.agentEpoch = 999;
  machine.zone = zone;
  for (const job of scheduler.state.jobs.byId.values())
    for (let t = 0; t < 3 * CHUNK_TASKS; t++) assignTask(scheduler.state, job, 99_000 + t, 9999, machine, 0n);
  assert.ok(
    scheduler.state.records.pages.size > 12 && scheduler.state.records.pages.size < 40,
    `${scheduler.state.records.pages.size} pages`,
  );
  for (const page of scheduler.state.records.pages.values()) {
    const entries = pageEntriesOf(page, chunkRecordOf);
    const encoded = encodePage(entries, ['east', 'west']);
    assert.ok(JSON.stringify(encoded).length <= 4096, `${encoded.length} characters`);
    assert.deepEqual(decodePage(decode(encode(encoded))), entries);
    assert.equal(
      taskCountsIn(encoded).reduce((sum, c) => sum + c.assigned, 0),
      entries.reduce((sum, entry) => sum + entry.record.assignments.length, 0),
    );
  }
  assert.deepEqual(parseKey(pageKey('all', 3)), { kind: 'page', partition: 'all', id: 3 });
});
