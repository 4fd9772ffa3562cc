/** @file Costs at 1,000 and 4,000 machines, by counts instead of time. */
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
import type { KeyChange, ReplicaEntry } from '../src/edge/state-store/replica-view.js';
import { Subject } from 'rxjs';
import { SimulatedFleet } from './standins/simulated-fleet.js';
import { jobSpec } from './fixtures/cluster-config.js';

/**
 * Fleets of 1,000 and 4,000 machines, played through the core and counted instead of timed: what is constant stays so,
 * and the rest grows no faster than the fleet.
 */
const SIZES = [1000, 4000] as const;
const ARRAY = { cpus: 10, gpus: 1, memory: 54, taskCount: 40, priority: 'low' as const };
const TASKS_PER_MACHINE = 4;
/** Time for all tasks to be placed, recorded and started. */
const SETTLE_S = 10;

/** Counts the entries that anything takes from the map by walking over it. */
function countWalks<K, V>(map: Map<K, V>): { steps: number } {
  const counted = { steps: 0 };
  const entries = map.entries.bind(map);
  function* walk(): Generator<[K, V]> {
    for (const entry of entries()) {
      counted.steps += 1;
      yield entry;
    }
  }
  function* values(): Generator<V> {
    for (const [, value] of walk()) yield value;
  }
  Object.assign(map, { [Symbol.iterator]: walk, entries: walk, values });
  return counted;
}

function filled(machines: number): SimulatedFleet {
  const fleet = new SimulatedFleet(machines);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  for (let n = 0; n < (machines * TASKS_PER_MACHINE) / ARRAY.taskCount; n++) {
    fleet.submit(`req-${n}`, ARRAY);
  }
  rest(fleet, SETTLE_S);
  return fleet;
}

function rest(fleet: SimulatedFleet, seconds: number): void {
  for (let n = 0; n < seconds * 10; n++) {
    fleet.advance(0.1);
    fleet.event({ kind: 'tick' });
    fleet.commit();
  }
}

const running = (fleet: SimulatedFleet): number =>
  [...fleet.tasks.values()].reduce((sum, tasks) => sum + tasks.length, 0);

/** What one size came to. */
interface Counted {
  readonly stepsOfReports: number;
  readonly scannedAtRest: number;
  readonly stepsAtRest: number;
  readonly commitsAtRest: number;
  readonly changesPerPlacedTask: number;
  readonly bytesPerMachine: number;
}

const REST_S = 5;

function count(machines: number): Counted {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const fleet = filled(machines);
  assert.equal(running(fleet), machines * TASKS_PER_MACHINE, 'the jobs fill the fleet');
  collect();
  const bytesPerMachine = (process.memoryUsage().heapUsed - before) / machines;
  const changesPerPlacedTask = fleet.operations / (machines * TASKS_PER_MACHINE);
  const walked = countWalks(fleet.scheduler.state.machines.byName);
  for (let n = 0; n < 100; n++) fleet.sendHeartbeat(n);
  const stepsOfReports = walked.steps;
  const scanned = fleet.scheduler.state.machines.scannedCount;
  fleet.commits = 0;
  walked.steps = 0;
  rest(fleet, REST_S);
  return {
    stepsOfReports,
    scannedAtRest: fleet.scheduler.state.machines.scannedCount - scanned,
    stepsAtRest: walked.steps,
    commitsAtRest: fleet.commits,
    changesPerPlacedTask,
    bytesPerMachine,
  };
}

test('from 1,000 to 4,000 machines costs grow at most linearly, and constant ones stay constant', () => {
  const [small, large] = SIZES.map(count);
  assert.ok(small !== undefined && large !== undefined);
  for (const each of [small, large]) {
    assert.equal(each.stepsOfReports, 0, 'a report looks at its own machine alone');
    assert.equal(each.scannedAtRest, 0, 'a pass in which nothing changed looks at no machine');
    assert.equal(each.commitsAtRest, 0, 'nothing is written at rest');
    assert.ok(each.changesPerPlacedTask < 0.03, `${each.changesPerPlacedTask} changes a placed task`);
    assert.ok(each.bytesPerMachine < 6000, `${each.bytesPerMachine} bytes a machine with its tasks`);
  }
  assert.ok(large.stepsAtRest <= 4.05 * small.stepsAtRest, `${small.stepsAtRest} to ${large.stepsAtRest}`);
  assert.ok(
    large.bytesPerMachine <= 1.15 * small.bytesPerMachine,
    `${small.bytesPerMachine} to ${large.bytesPerMachine} bytes a machine`,
  );
});

test('a failover with 4,000 machines finds every assignment, writes nothing and restarts nothing', () => {
  const fleet = filled(4000);
  const before = running(fleet);
  fleet.commits = 0;
  const scheduler = fleet.startTerm();
  assert.equal(scheduler.state.machines.byName.size, 4000);
  const placed = [...scheduler.state.jobs.byId.values()].reduce((sum, job) => sum + job.assignedCount, 0);
  assert.equal(placed, before);
  rest(fleet, REST_S);
  assert.equal(running(fleet), before, 'no task is started twice or stopped');
  assert.equal(fleet.commits, 0);
});

/** A followed copy without a state store. */
class Copy {
  readonly replica = new Map<string, ReplicaEntry>();
  readonly changes = new Subject<KeyChange>();
  private stamp = 0;

  put(key: string, value: unknown): void {
    const entry = { value, modRevision: ++this.stamp };
    this.replica.set(key, entry);
    this.changes.next({ key, entry });
  }
}

test('cached images are remembered for every machine, and expire', () => {
  const copy = new Copy();
  let clock = 0n;
  const images = new ImageCacheObserver(
    copy,
    createLogger('test'),
    new DecodedPageCache(),
    () => false,
    () => clock,
  );
  const following = images.start();
  copy.put(jobKey('req-1'), encodeJob({ spec: jobSpec('req-1'), submittedAt: new Date(0), status: 'open' }));
  const seen = (from: number, to: number): void => {
    const intents = Array.from({ length: to - from }, (_, n) => ({
      ...{ taskIndex: n, attempt: 1, machineName: `n-${from + n}`, agentEpoch: 1, zone: 'east' },
    }));
    const entries = [
      {
        jobId: 'req-1',
        chunkIndex: 0,
        record: { highestAttempt: 1, completedTasks: [], assignments: intents },
      },
    ];
    copy.put(pageKey('all', 0), encodePage(entries, ['east']));
  };
  for (let n = 0; n < 100; n++) seen(100 * n, 100 * n + 100);
  assert.equal(images.machineCount, 10_000);
  clock += 19n * 60n * 1_000_000_000n;
  seen(0, 100);
  clock += 2n * 60n * 1_000_000_000n;
  seen(100, 200);
  assert.equal(images.machineCount, 200, 'those not seen for twenty minutes are gone');
  assert.equal(images.likelyCached(1).length, 200);
  following.unsubscribe();
});

test('queued tasks of one key run in order, those of different keys concurrently, and idle keys hold no memory', async () => {
  const tasks = new KeyedTaskQueue();
  const running = tasks.start();
  const order: string[] = [];
  const waits = (name: string, ms: number) => async (): Promise<void> => {
    await new Promise((done) => setTimeout(done, ms));
    order.push(name);
  };
  tasks.push('a', waits('a1', 30));
  tasks.push('a', waits('a2', 1));
  tasks.push('b', waits('b1', 1));
  assert.equal(tasks.busyKeys, 2);
  await new Promise((done) => setTimeout(done, 60));
  assert.deepEqual(order, ['b1', 'a1', 'a2']);
  assert.equal(tasks.busyKeys, 0);
  tasks.push('a', waits('a3', 10));
  tasks.push('a', waits('a4', 1));
  running.unsubscribe();
  await new Promise((done) => setTimeout(done, 30));
  assert.deepEqual(order.slice(3), ['a3'], 'what has not begun at the end is dropped');
});
