import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import { previousLeadersDeadlineFrom } from '../src/core/state/leadership-timing.js';
import { seconds, type Timestamp } from '../src/core/model/time.js';
import { DEFAULT_SETTINGS } from '../src/edge/config/operator-settings.js';
import { FACTS, TYPE, spec } from './player.js';

const at = (s: number): Timestamp => ({
  monotonic: seconds(1000 + s),
  wall: new Date(Date.UTC(2030, 0, 1) + s * 1000),
});

// After an outage hundreds of one-task jobs are placed in one pass. Each of them has its key guarded when its place is
// committed, and a page with more of them than a transaction takes conditions could never be written.
test('however many small jobs start at once, all their places come to be committed', () => {
  for (const txnOps of [4, 8]) {
    const began = at(0).monotonic;
    const term = {
      fencingToken: 1,
      startedAt: began,
      confirmedAt: began,
      previousLeadersDeadline: previousLeadersDeadlineFrom(FACTS, began),
    };
    const scheduler = new ClusterScheduler(
      { ...FACTS, maxTransactionOperations: txnOps },
      DEFAULT_SETTINGS,
      term,
    );
    scheduler.handle(
      { kind: 'machine-types', types: [{ ...TYPE, cpus: 1000, gpus: 1000, memory: 10_000 }] },
      at(0),
    );
    for (const seq of [1, 2]) {
      const machine = { machineName: 'm1', endpoint: 'm1:1', type: 'big', zone: 'east', spot: false };
      scheduler.handle(
        {
          kind: 'heartbeat',
          heartbeat: {
            ...machine,
            agentEpoch: 1,
            sequence: seq,
            fencingToken: 1,
            preemptionNotice: null,
            tasks: [],
          },
        },
        at(0),
      );
    }
    scheduler.state.scheduling.cycleNeeded = false;
    for (let n = 0; n < 240; n++) {
      const record = { spec: spec(`req-${n}`), submittedAt: at(0).wall, status: 'open' as const };
      scheduler.state.scheduling.lastCycleAt = at(100).monotonic;
      scheduler.handle({ kind: 'job-changed', id: `req-${n}`, record, modRevision: n + 2 }, at(0));
    }
    scheduler.state.scheduling.lastCycleAt = began;
    scheduler.handle({ kind: 'leadership-confirmed', confirmedAt: at(1).monotonic }, at(1));
    scheduler.handle({ kind: 'tick' }, at(3));
    let stamp = 1000;
    for (let n = 0; n < 200; n++) {
      const transaction = scheduler.nextTransaction(at(10));
      if (transaction === null) break;
      assert.ok(transaction.jobConditions.size + transaction.pages.length + 1 <= 4 * txnOps);
      scheduler.handle({ kind: 'transaction-committed', transaction, modRevision: ++stamp }, at(10));
    }
    const placed = [...scheduler.state.jobs.byId.values()].filter((job) => job.assignedCount > 0);
    assert.equal(placed.length, 240);
    const open = [...scheduler.state.records.pages.values()].filter(
      (page) => page.version > page.committedVersion,
    );
    assert.equal(open.length, 0, `${open.length} pages are never committed with ${txnOps} changes`);
  }
});
