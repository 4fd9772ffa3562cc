/**
 * @file Guards against controllers that end for memory, or take over too slowly, because of accepted jobs of 100,000
 * tasks: a leader kept an entry for each pending task and some kilobytes for each 40 completed ones.
 */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { ImageCacheObserver } from '../src/edge/state-store/image-cache-observer.js';
import { assignmentsOf, endAssignment } from '../src/core/assignments/assignments.js';
import type { JobKind, JobSpec } from '../src/core/model/job.js';
import { TOO_MANY_ASSIGNMENTS } from '../src/core/model/pending-reasons.js';
import { runSchedulingCycle } from '../src/core/scheduling/scheduling-cycle.js';
import { maxAssignments, openJobCapacityBytes } from '../src/edge/config/leader-memory.js';
import { OpenJobMemory, openJobBytes } from '../src/edge/state-store/open-job-memory.js';
import { createLogger } from '../src/edge/runtime/logger.js';
import { TaskCounts } from '../src/edge/state-store/task-counts.js';
import { encodeJob } from '../src/wire/job-record.js';
import { jobKey } from '../src/wire/keys.js';
import { timeAt } from './fixtures/clock.js';
import { CLUSTER_CONFIG, jobSpec } from './fixtures/cluster-config.js';
import { createSchedulerWithType } from './fixtures/scheduler.js';
import { rejectionReason } from '../src/edge/http/submission-checks.js';
import {
  fillWithNearlyCompletedJobs,
  leaderWithPendingJobs,
  runCycles,
  takeOver,
} from './fixtures/large-jobs.js';
import { usedBytes } from './fixtures/memory.js';
import { ReplicaStandIn } from './fixtures/replica.js';
import { jobBody, waitUntil } from './standins/cluster.js';
import { call } from './standins/http.js';
import { startStateStore, startTestService, statusAt, stopTestServices } from './standins/service.js';

/** The jobs of the largest burst of a site file, with the largest number of tasks that the protocol allows. */
const LARGE = { jobs: 70, tasksPerJob: 100_000 };
/** The part of that site's memory limit, 165 MB, that open jobs may take. */
const MAX_BYTES = 0.3 * 165 * 2 ** 20;
/** The smallest memory limit of the site files, in MB. */
const SMALLEST_LIMIT_MB = 108;

after(stopTestServices);

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

test('the estimate of what open jobs can take in a leader is not below what they take', () => {
  const replica = new ReplicaStandIn();
  const memory = new OpenJobMemory(replica, Infinity, createLogger('test'));
  const before = usedBytes();
  fillWithNearlyCompletedJobs(replica, LARGE);
  const scheduler = takeOver(replica, LARGE, new DecodedPageCache());
  const growth = usedBytes() - before;
  assert.ok(growth <= memory.usedBytes, `${growth} bytes, estimated ${memory.usedBytes}`);
  assert.equal(memory.usedBytes, LARGE.jobs * openJobBytes({ taskCount: LARGE.tasksPerJob }));
  assert.equal(scheduler.state.jobs.byId.size, LARGE.jobs);
});

test('a job reserves memory once, and gives it back when it ends or could not be created', () => {
  const record = (id: string, status: 'open' | 'cancelled'): unknown =>
    encodeJob({ spec: jobSpec(id, { taskCount: 100_000 }), submittedAt: timeAt(0).wall, status });
  const replica = new ReplicaStandIn();
  const memory = new OpenJobMemory(replica, openJobCapacityBytes(SMALLEST_LIMIT_MB), createLogger('test'));
  let accepted = 0;
  while (memory.reserve(jobSpec(`req-${accepted}`, { taskCount: 100_000 }))) accepted += 1;
  assert.ok(accepted > 0);
  const full = memory.usedBytes;
  replica.put(jobKey('req-0'), record('req-0', 'open'));
  memory.release('req-0');
  assert.equal(memory.usedBytes, full, 'the replica has it');
  const next = jobSpec('req-next', { taskCount: 100_000 });
  assert.equal(memory.reserve(next), false);
  replica.put(jobKey('req-0'), record('req-0', 'cancelled'));
  assert.equal(memory.reserve(next), true);
  assert.equal(memory.reserve(next), true, 'a repeat takes nothing more');
  assert.equal(memory.usedBytes, full);
  memory.release(next.id);
  assert.equal(memory.usedBytes, full - openJobBytes(next));
});

// Tasks that take next to nothing fit a machine by the thousand, and the leader holds each one that is assigned.
test('no more tasks are assigned at once than the leader can hold, and the others follow as these end', () => {
  const maxAssignments = 50;
  const scheduler = createSchedulerWithType({ config: { ...CLUSTER_CONFIG, maxAssignments } });
  const { state } = scheduler;
  const specs = [
    jobSpec('req-1', { taskCount: 100_000, cpus: 0.0001, gpus: 0, memory: 0.0001 }),
    jobSpec('req-2', { kind: 'gang', taskCount: 2, cpus: 0.0001, gpus: 0, memory: 0.0001 }),
    jobSpec('req-3', { kind: 'service', taskCount: 2, cpus: 1, gpus: 0, priority: 'production' }),
  ];
  for (const [n, spec] of specs.entries()) {
    const record = { spec, submittedAt: timeAt(0).wall, status: 'open' as const };
    scheduler.handle({ kind: 'job-changed', id: spec.id, record, modRevision: n + 1 }, timeAt(0));
  }
  runCycles(scheduler, 3);
  assert.equal(state.jobs.assignmentCount, maxAssignments);
  assert.equal(state.jobs.byId.get('req-3')?.assignedCount, 2);
  const array = state.jobs.byId.get('req-1');
  assert.ok(array !== undefined);
  assert.equal(array.pendingReason, TOO_MANY_ASSIGNMENTS);
  for (const assignment of assignmentsOf(array).slice(0, 10))
    endAssignment(state, assignment, true, 'done', timeAt(20).monotonic);
  runCycles(scheduler, 3, 21);
  assert.equal(state.jobs.assignmentCount, maxAssignments);
  assert.equal(array.completedTasks.size, 10);
});

// Each place that became free went to an array of lower priority, and the gangs never started.
test('where assignments are short, gangs of higher priority start first, also one above the bound', () => {
  const scheduler = createSchedulerWithType({ config: { ...CLUSTER_CONFIG, maxAssignments: 50 } });
  const { state } = scheduler;
  const tiny = { cpus: 0.0001, gpus: 0, memory: 0.0001 };
  const submit = (id: string, overrides: Partial<JobSpec>): void => {
    const record = {
      spec: jobSpec(id, { ...tiny, ...overrides }),
      submittedAt: timeAt(0).wall,
      status: 'open' as const,
    };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: Number(id.slice(4)) }, timeAt(2));
  };
  submit('req-1', { taskCount: 100_000 });
  runCycles(scheduler, 1);
  submit('req-2', { kind: 'gang', taskCount: 8, priority: 'high' });
  submit('req-3', { kind: 'gang', taskCount: 60, priority: 'high' });
  const [array, gang, largeGang] = ['req-1', 'req-2', 'req-3'].map((id) => state.jobs.byId.get(id));
  assert.ok(array !== undefined && gang !== undefined && largeGang !== undefined);
  for (let ended = 0; ended < 40; ended++) {
    const [assignment] = assignmentsOf(array);
    if (assignment !== undefined) endAssignment(state, assignment, true, 'done', timeAt(2).monotonic);
    runSchedulingCycle(state, timeAt(2));
  }
  assert.deepEqual([gang.assignedCount, largeGang.assignedCount], [8, 60]);
});

test('a gang or service with more tasks than a controller can hold at once is never accepted', () => {
  const limits = { ...CLUSTER_CONFIG, maxAssignments: maxAssignments(SMALLEST_LIMIT_MB) };
  const reasonFor = (kind: JobKind): string | null =>
    rejectionReason(jobSpec('req-1', { kind, taskCount: 100_000, gpus: 0 }), limits, []);
  assert.match(reasonFor('gang') ?? '', /more tasks at once/);
  assert.match(reasonFor('service') ?? '', /more tasks at once/);
  assert.equal(reasonFor('array'), null);
});

test('beyond what the leader can hold, jobs get 503 with Retry-After until an accepted one ends', async () => {
  const memoryMb = 400;
  const stateStore = await startStateStore();
  const waiting = Math.floor(openJobCapacityBytes(memoryMb) / openJobBytes({ taskCount: 100_000 }));
  for (let n = 0; n < waiting; n++) {
    const spec = jobSpec(`req-${n}`, { taskCount: 100_000, gpus: 2, machineTypes: ['none'] });
    const value = encodeJob({ spec, submittedAt: new Date(), status: 'open' });
    stateStore.commit({ guards: [], writes: [{ write: jobKey(spec.id), value }] });
  }
  const { apis } = await startTestService({ stateStore, memoryMb, taskDurationMs: () => null });
  const [api = ''] = apis;
  const large = jobBody('req-1000', { tickets: 100_000 });
  const refused = await call(api, 'POST', '/work', large);
  assert.deepEqual([refused.status, refused.retryAfter], [503, '5']);
  assert.equal((await call(api, 'POST', '/work', jobBody('req-0'))).status, 200, 'accepted before');
  assert.equal(await statusAt(api, 'req-1'), 'pending');
  assert.equal((await call(api, 'POST', '/work/req-0/withdraw')).status, 200);
  await waitUntil(
    'req-1000 is accepted',
    async () => (await call(api, 'POST', '/work', large)).status === 201,
  );
});
