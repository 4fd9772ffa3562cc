/** @file The completion of jobs while pages change constantly. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seconds } from '../src/core/model/time.js';
import { endAssignment, assignTask } from '../src/core/assignments/assignments.js';
import { getOrAddMachine } from '../src/core/machines/machine-registry.js';
import { onTransactionCommitted } from '../src/core/persistence/commits.js';
import { operationCount } from '../src/core/model/transaction.js';
import { CLUSTER_CONFIG, jobSpec } from './fixtures/cluster-config.js';
import { createScheduler } from './fixtures/scheduler.js';

test('a completed job is committed as done however many pages keep changing', () => {
  // Guards against a failure seen on a large fleet: changed pages took up all operations of every transaction, and users
  // learned of the completion 100 s late.
  const scheduler = createScheduler({ startedAt: 0n, previousLeader: 'none' });
  const state = scheduler.state;
  const now = { monotonic: seconds(1), wall: new Date(0) };
  const machine = getOrAddMachine(state, 'm', 0n);
  machine.agentEpoch = 1;
  const submit = (id: string, taskCount: number): void => {
    const record = {
      spec: jobSpec(id, { taskCount }),
      submittedAt: now.wall,
      status: 'open' as const,
    };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: 5 }, now);
  };
  submit('req-1', 1);
  const singleTaskJob = state.jobs.byId.get('req-1');
  assert.ok(singleTaskJob !== undefined);
  const assignment = assignTask(state, singleTaskJob, 0, 1, machine, now.monotonic);
  onTransactionCommitted(state, scheduler.nextTransaction(now) ?? assert.fail('nothing to commit'), 10, now);
  for (let n = 0; n < 3 * CLUSTER_CONFIG.maxTransactionOperations; n++) {
    submit(`req-2${n}`, 120);
    const job = state.jobs.byId.get(`req-2${n}`);
    if (job !== undefined) for (let t = 0; t < 120; t++) assignTask(state, job, t, 1, machine, now.monotonic);
  }
  endAssignment(state, assignment, true, 'done', now.monotonic);
  const completedJobs: string[] = [];
  for (let n = 0; n < 4 && completedJobs.length === 0; n++) {
    const transaction = scheduler.nextTransaction(now) ?? assert.fail('nothing to commit');
    assert.ok(operationCount(transaction) <= CLUSTER_CONFIG.maxTransactionOperations);
    completedJobs.push(...transaction.completedJobs);
    onTransactionCommitted(state, transaction, 20 + n, now);
  }
  assert.deepEqual(completedJobs, ['req-1']);
});
