/**
 * @file Guards against controllers that end for memory, or take over too slowly, because of accepted jobs of 100,000
 * tasks: a leader kept an entry for each pending task and some kilobytes for each 40 completed ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { ImageCacheObserver } from '../src/edge/state-store/image-cache-observer.js';
import { createLogger } from '../src/edge/runtime/logger.js';
import { TaskCounts } from '../src/edge/state-store/task-counts.js';
import {
  fillWithNearlyCompletedJobs,
  leaderWithPendingJobs,
  runCycles,
  takeOver,
} from './fixtures/large-jobs.js';
import { usedBytes } from './fixtures/memory.js';
import { ReplicaStandIn } from './fixtures/replica.js';

/** The jobs of the largest burst of a site file, with the largest number of tasks that the protocol allows. */
const LARGE = { jobs: 70, tasksPerJob: 100_000 };
/** The part of that site's memory limit, 165 MB, that open jobs may take. */
const MAX_BYTES = 0.3 * 165 * 2 ** 20;

test('pending jobs of 100,000 tasks fit into the memory of a leader', () => {
  const before = usedBytes();
  const scheduler = leaderWithPendingJobs(LARGE);
  runCycles(scheduler, 3);
  const growth = usedBytes() - before;
  assert.ok(growth <= MAX_BYTES, `${growth} bytes`);
  assert.equal(scheduler.state.jobs.pending.size, LARGE.jobs);
});

test('jobs of 100,000 tasks, nearly all completed, fit into the memory of a standby and of a new leader', () => {
  const before = usedBytes();
  const replica = new ReplicaStandIn();
  const pageCache = new DecodedPageCache();
  const counts = new TaskCounts(replica);
  const observer = new ImageCacheObserver(replica, createLogger('test'), pageCache, () => false);
  const subscription = observer.start();
  fillWithNearlyCompletedJobs(replica, LARGE);
  const scheduler = takeOver(replica, LARGE, pageCache);
  runCycles(scheduler, 3);
  const growth = usedBytes() - before;
  assert.ok(growth <= MAX_BYTES, `${growth} bytes`);
  assert.equal(counts.of('req-000000').completed, LARGE.tasksPerJob - 1);
  const job = scheduler.state.jobs.byId.get('req-000000');
  assert.equal(job?.completedTasks.size, LARGE.tasksPerJob - 1);
  subscription.unsubscribe();
});
