/** @file Costs at 1,000 and 4,000 machines, measured by counts instead of time. */
import assert from 'node:assert/strict';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { test } from 'node:test';
import { ImageCacheObserver } from '../src/edge/state-store/image-cache-observer.js';
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { createLogger } from '../src/edge/runtime/logger.js';
import { KeyedTaskQueue } from '../src/edge/workers/keyed-task-queue.js';
import { jobKey, pageKey } from '../src/wire/keys.js';
import { encodeJob } from '../src/wire/job-record.js';
import { encodePage } from '../src/wire/page-record.js';
import { SimulatedFleet } from './standins/simulated-fleet.js';
import { jobSpec } from './fixtures/cluster-config.js';
import { ReplicaStandIn } from './fixtures/replica.js';

/**
 * Simulated fleets of these numbers of machines run through the core. Constant costs must stay constant, and all others
 * must grow no faster than the fleet.
 */
const SIZES = [1000, 4000] as const;
const ARRAY = { cpus: 10, gpus: 1, memory: 54, taskCount: 40, priority: 'low' as const };
const TASKS_PER_MACHINE = 4;
/** Seconds within which all tasks are assigned, committed and started. */
const SETTLE_S = 10;

/** Counts the entries that are visited by iterating over the map, from now on. */
function countVisitedEntries<K, V>(map: Map<K, V>): { steps: number } {
  const visited = { steps: 0 };
  const entries = map.entries.bind(map);
  function* walk(): Generator<[K, V]> {
    for (const entry of entries()) {
      visited.steps += 1;
      yield entry;
    }
  }
  function* values(): Generator<V> {
    for (const [, value] of walk()) yield value;
  }
  Object.assign(map, { [Symbol.iterator]: walk, entries: walk, values });
  return visited;
}

function createFullFleet(machines: number): SimulatedFleet {
  const fleet = new SimulatedFleet(machines);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  for (let n = 0; n < (machines * TASKS_PER_MACHINE) / ARRAY.taskCount; n++) {
    fleet.submit(`req-${n}`, ARRAY);
  }
  runFor(fleet, SETTLE_S);
  return fleet;
}

function runFor(fleet: SimulatedFleet, seconds: number): void {
  for (let n = 0; n < seconds * 10; n++) {
    fleet.advance(0.1);
    fleet.handle({ kind: 'tick' });
    fleet.commit();
  }
}

const runningTaskCount = (fleet: SimulatedFleet): number =>
  [...fleet.tasks.values()].reduce((sum, tasks) => sum + tasks.length, 0);

/** The costs measured for one fleet size. Idle costs are those of `IDLE_S` seconds in which nothing changes. */
interface FleetCosts {
  readonly heartbeatSteps: number;
  readonly idleScannedMachines: number;
  readonly idleSteps: number;
  readonly idleCommits: number;
  readonly operationsPerTask: number;
  readonly bytesPerMachine: number;
}

const IDLE_S = 5;

function measureCosts(machines: number): FleetCosts {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const fleet = createFullFleet(machines);
  assert.equal(runningTaskCount(fleet), machines * TASKS_PER_MACHINE, 'the jobs fill the fleet');
  collectGarbage();
  const bytesPerMachine = (process.memoryUsage().heapUsed - heapBefore) / machines;
  const operationsPerTask = fleet.operations / (machines * TASKS_PER_MACHINE);
  const visited = countVisitedEntries(fleet.scheduler.state.machines.byName);
  for (let n = 0; n < 100; n++) fleet.sendHeartbeat(n);
  const heartbeatSteps = visited.steps;
  const scannedBefore = fleet.scheduler.state.machines.scannedCount;
  fleet.commits = 0;
  visited.steps = 0;
  runFor(fleet, IDLE_S);
  return {
    heartbeatSteps,
    idleScannedMachines: fleet.scheduler.state.machines.scannedCount - scannedBefore,
    idleSteps: visited.steps,
    idleCommits: fleet.commits,
    operationsPerTask,
    bytesPerMachine,
  };
}

test('from 1,000 to 4,000 machines costs grow at most linearly, and constant ones stay constant', () => {
  const [small, large] = SIZES.map(measureCosts);
  assert.ok(small !== undefined && large !== undefined);
  for (const costs of [small, large]) {
    assert.equal(costs.heartbeatSteps, 0, 'a heartbeat looks at its own machine alone');
    assert.equal(
      costs.idleScannedMachines,
      0,
      'a scheduling cycle in which nothing changed looks at no machine',
    );
    assert.equal(costs.idleCommits, 0, 'nothing is written while idle');
    assert.ok(costs.operationsPerTask < 0.03, `${costs.operationsPerTask} operations per assigned task`);
    assert.ok(costs.bytesPerMachine < 6000, `${costs.bytesPerMachine} bytes per machine with its tasks`);
  }
  assert.ok(large.idleSteps <= 4.05 * small.idleSteps, `${small.idleSteps} to ${large.idleSteps}`);
  assert.ok(
    large.bytesPerMachine <= 1.15 * small.bytesPerMachine,
    `${small.bytesPerMachine} to ${large.bytesPerMachine} bytes per machine`,
  );
});

test('a failover with 4,000 machines finds every assignment, writes nothing and restarts nothing', () => {
  const fleet = createFullFleet(4000);
  const runningBefore = runningTaskCount(fleet);
  fleet.commits = 0;
  const scheduler = fleet.startTerm();
  assert.equal(scheduler.state.machines.byName.size, 4000);
  const assignedCount = [...scheduler.state.jobs.byId.values()].reduce(
    (sum, job) => sum + job.assignedCount,
    0,
  );
  assert.equal(assignedCount, runningBefore);
  runFor(fleet, IDLE_S);
  assert.equal(runningTaskCount(fleet), runningBefore, 'no task is started twice or stopped');
  assert.equal(fleet.commits, 0);
});

test('cached images are remembered for every machine, and expire', () => {
  const replicaView = new ReplicaStandIn();
  let clock = 0n;
  const observer = new ImageCacheObserver(
    replicaView,
    createLogger('test'),
    new DecodedPageCache(),
    () => false,
    () => clock,
  );
  const subscription = observer.start();
  replicaView.put(
    jobKey('req-1'),
    encodeJob({ spec: jobSpec('req-1'), submittedAt: new Date(0), status: 'open' }),
  );
  const putAssignments = (first: number, end: number): void => {
    const assignments = Array.from({ length: end - first }, (_, n) => ({
      ...{ taskIndex: n, attempt: 1, machineName: `n-${first + n}`, agentEpoch: 1, zone: 'east' },
    }));
    const entries = [
      {
        jobId: 'req-1',
        chunkIndex: 0,
        record: { highestAttempt: 1, completedTasks: [], assignments },
      },
    ];
    replicaView.put(pageKey('all', 0), encodePage(entries, ['east']));
  };
  for (let n = 0; n < 100; n++) putAssignments(100 * n, 100 * n + 100);
  assert.equal(observer.machineCount, 10_000);
  clock += 19n * 60n * 1_000_000_000n;
  putAssignments(0, 100);
  clock += 2n * 60n * 1_000_000_000n;
  putAssignments(100, 200);
  assert.equal(observer.machineCount, 200, 'machines not seen for twenty minutes are dropped');
  assert.equal(observer.likelyCached(1).length, 200);
  subscription.unsubscribe();
});

test('queued tasks of one key run in order, those of different keys concurrently, and idle keys hold no memory', async () => {
  const queue = new KeyedTaskQueue();
  const subscription = queue.start();
  const order: string[] = [];
  const recordAfter = (name: string, ms: number) => async (): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, ms));
    order.push(name);
  };
  queue.push('a', recordAfter('a1', 30));
  queue.push('a', recordAfter('a2', 1));
  queue.push('b', recordAfter('b1', 1));
  assert.equal(queue.busyKeys, 2);
  await new Promise((resolve) => setTimeout(resolve, 60));
  assert.deepEqual(order, ['b1', 'a1', 'a2']);
  assert.equal(queue.busyKeys, 0);
  queue.push('a', recordAfter('a3', 10));
  queue.push('a', recordAfter('a4', 1));
  subscription.unsubscribe();
  await new Promise((resolve) => setTimeout(resolve, 30));
  assert.deepEqual(order.slice(3), ['a3'], 'tasks that have not begun when the queue ends are dropped');
});
