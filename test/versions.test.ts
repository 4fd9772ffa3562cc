/**
 * @file The production version and this one run side by side, as in an upgrade. Each is leader in turn and continues from
 * the records of the other. Copies of the production version's code encode and decode its records.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLogger } from '../src/edge/runtime/logger.js';
import type { ReplicaEntry } from '../src/edge/state-store/replica-view.js';
import type { StateStore } from '../src/edge/state-store/state-store.js';
import { DEPENDENCIES_FEATURE, ControllerVersions } from '../src/edge/state-store/controller-versions.js';
import { decodeJob, encodeJob } from '../src/wire/job-record.js';
import { decodePage, encodePage } from '../src/wire/page-record.js';
import { versionKey } from '../src/wire/keys.js';
import { SimulatedFleet, type RecordCodec } from './standins/simulated-fleet.js';
import { PRODUCTION_CODEC } from './standins/production-version.js';

const THIS_CODEC: RecordCodec = {
  writeJob: encodeJob,
  readJob: decodeJob,
  writePage: encodePage,
  readPage: decodePage,
};
const MACHINES = 6;

/** The version records of the controllers, as each controller sees them in its replica. */
class VersionRegistry {
  private readonly replica = new Map<string, ReplicaEntry>();

  recordUpgrade(label: string): void {
    this.replica.set(versionKey(label), { value: { features: [DEPENDENCIES_FEATURE] }, modRevision: 1 });
  }

  versionsSeenBy(label: string, others: readonly string[]): ControllerVersions {
    return new ControllerVersions(
      { replica: this.replica } as unknown as StateStore,
      label,
      others,
      createLogger('test'),
    );
  }
}

function failOverTo(fleet: SimulatedFleet, codec: RecordCodec): void {
  fleet.codec = codec;
  fleet.startTerm();
}

/** Runs heartbeats, scheduling cycles and transactions for some seconds. */
function runFor(fleet: SimulatedFleet, seconds: number): void {
  for (let n = 0; n < seconds * 4; n++) {
    fleet.advance(0.25);
    fleet.sendHeartbeats();
    fleet.handle({ kind: 'tick' });
    fleet.commit();
    checkNoTaskRunsTwice(fleet);
  }
}

function tasksOf(fleet: SimulatedFleet, job: string): string[] {
  const running: string[] = [];
  for (const [machine, tasks] of fleet.tasks)
    for (const task of tasks)
      if (task.jobId === job && task.state !== 'exited')
        running.push(`${task.taskIndex}#${task.attempt} on ${machine}`);
  return running.sort();
}

function checkNoTaskRunsTwice(fleet: SimulatedFleet): void {
  const machineByTask = new Map<string, string>();
  for (const [machine, tasks] of fleet.tasks)
    for (const task of tasks) {
      if (task.state === 'exited') continue;
      const key = `${task.jobId}/${task.taskIndex}`;
      assert.equal(machineByTask.get(key), undefined, `${key} runs on ${machine} and elsewhere`);
      machineByTask.set(key, machine);
    }
}

/** Checks that both versions decode the stored records to the same values. */
function checkRecords(fleet: SimulatedFleet): void {
  for (const { value } of fleet.jobs.values())
    assert.deepEqual(PRODUCTION_CODEC.readJob(value), decodeJob(value));
  for (const { value } of fleet.pages.values())
    assert.deepEqual(PRODUCTION_CODEC.readPage(value), decodePage(value));
}

function cancel(fleet: SimulatedFleet, codec: RecordCodec, id: string): void {
  const stored = fleet.jobs.get(id);
  assert.ok(stored !== undefined);
  fleet.storeJob(id, codec.writeJob({ ...codec.readJob(stored.value), status: 'cancelled' }));
}

test('old and new versions are leader in turn: no task is started twice or lost, and final statuses stay', () => {
  const fleet = new SimulatedFleet(MACHINES, PRODUCTION_CODEC);
  fleet.sendHeartbeats();
  // These are delivered late. As proof, they would wrongly show that none of the following tasks runs.
  const delayedHeartbeats = Array.from({ length: MACHINES }, (_, n) => fleet.nextHeartbeat(n));
  fleet.submit('req-1', { kind: 'service', taskCount: 2, priority: 'production', spreadAcrossZones: true });
  fleet.submit('req-2', { kind: 'gang', taskCount: 3, singleZone: true });
  fleet.submit('req-3', { taskCount: 4 });
  runFor(fleet, 5);
  const before = ['req-1', 'req-2', 'req-3'].map((id) => tasksOf(fleet, id));
  assert.deepEqual(
    before.map((tasks) => tasks.length),
    [2, 3, 4],
  );

  failOverTo(fleet, THIS_CODEC);
  checkRecords(fleet);
  runFor(fleet, 2);
  assert.deepEqual(
    ['req-1', 'req-2', 'req-3'].map((id) => tasksOf(fleet, id)),
    before,
    'all tasks run on, on the same machines',
  );
  cancel(fleet, THIS_CODEC, 'req-2');

  // The failover happens before any task of the cancelled job is stopped, and while old heartbeats are still in transit.
  failOverTo(fleet, PRODUCTION_CODEC);
  runFor(fleet, 1);
  for (const heartbeat of delayedHeartbeats) fleet.handle({ kind: 'heartbeat', heartbeat });
  checkRecords(fleet);
  runFor(fleet, 3);
  assert.deepEqual(tasksOf(fleet, 'req-2'), [], 'the cancellation written by the new version takes effect');
  assert.deepEqual(tasksOf(fleet, 'req-1'), before[0]);
  for (let n = 0; n < MACHINES; n++) fleet.finishTasksOf(n, 'req-3');

  failOverTo(fleet, THIS_CODEC);
  runFor(fleet, 1);
  for (const heartbeat of delayedHeartbeats) fleet.handle({ kind: 'heartbeat', heartbeat });
  runFor(fleet, 3);
  checkRecords(fleet);
  const statusOf = (id: string): string => decodeJob(fleet.jobs.get(id)?.value).status;
  assert.deepEqual(['req-1', 'req-2', 'req-3'].map(statusOf), ['open', 'cancelled', 'done']);
  assert.deepEqual(tasksOf(fleet, 'req-1'), before[0]);
  assert.deepEqual([tasksOf(fleet, 'req-2'), tasksOf(fleet, 'req-3')], [[], []]);
});

// Reason for this check: the production version ignores the field `dependencies` and starts the job at once.
test('the production version would start a dependent job at once, so none is accepted before every controller is upgraded', () => {
  const registry = new VersionRegistry();
  const labels = ['one', 'two', 'three'];
  const supportSeenByEach = (): boolean[] =>
    labels.map((label) =>
      registry
        .versionsSeenBy(
          label,
          labels.filter((other) => other !== label),
        )
        .allSupport(DEPENDENCIES_FEATURE),
    );
  for (const label of labels) {
    assert.deepEqual(supportSeenByEach(), [false, false, false], `before ${label} is upgraded`);
    registry.recordUpgrade(label);
  }
  assert.deepEqual(supportSeenByEach(), [true, true, true]);

  const fleet = new SimulatedFleet(MACHINES, THIS_CODEC);
  fleet.sendHeartbeats();
  fleet.submit('req-1', { taskCount: 1 });
  fleet.submit('req-2', { taskCount: 2, dependencies: ['req-1'] });
  runFor(fleet, 3);
  assert.deepEqual(tasksOf(fleet, 'req-2'), [], 'this version waits for the dependency');
  failOverTo(fleet, PRODUCTION_CODEC);
  runFor(fleet, 3);
  assert.equal(tasksOf(fleet, 'req-2').length, 2, 'the production version does not');
});

test('with all controllers upgraded, blocked jobs and jobs cancelled through a dependency stay so across failovers', () => {
  const fleet = new SimulatedFleet(MACHINES, THIS_CODEC);
  fleet.sendHeartbeats();
  fleet.submit('req-1', { taskCount: 1 });
  fleet.submit('req-2', { dependencies: ['req-1'] });
  fleet.submit('req-3', { taskCount: 1 });
  fleet.submit('req-4', { dependencies: ['req-3', 'req-1'] });
  runFor(fleet, 3);
  cancel(fleet, THIS_CODEC, 'req-3');
  failOverTo(fleet, THIS_CODEC);
  runFor(fleet, 3);
  assert.deepEqual([tasksOf(fleet, 'req-2'), tasksOf(fleet, 'req-4')], [[], []]);
  assert.equal(
    PRODUCTION_CODEC.readJob(fleet.jobs.get('req-4')?.value).status,
    'cancelled',
    'the production version can decode the cancellation',
  );
  for (let n = 0; n < MACHINES; n++) fleet.finishTasksOf(n, 'req-1');
  failOverTo(fleet, THIS_CODEC);
  runFor(fleet, 3);
  assert.equal(tasksOf(fleet, 'req-2').length, 1);
  assert.deepEqual(tasksOf(fleet, 'req-4'), []);
});
