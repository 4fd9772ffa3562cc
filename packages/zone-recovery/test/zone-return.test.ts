/** @file Scenarios of zone loss and return, checked against the history of the machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkHistory, type Findings } from './history-checker.js';
import {
  ONE_PARTITION,
  runScenario,
  REPLICAS,
  SERVICES,
  type ScenarioResult,
  type Scenario,
} from './scenario.js';
import type { HistoryEntry } from './zone-simulation.js';

/** The operators' requirement: upper bound in seconds from the end of a service replica's lease to its next start. */
const REPLACED_WITHIN_S = 30;

function check(result: ScenarioResult, findings: Findings): void {
  assert.deepEqual(findings.duplicates, [], 'no task ran on two machines');
  assert.deepEqual(findings.evicted, [], 'no replica was stopped');
  assert.ok(findings.replacedAfter.length > 0, 'the partition affected replicas');
  const slowest = findings.replacedAfter[findings.replacedAfter.length - 1] ?? Infinity;
  assert.ok(slowest <= REPLACED_WITHIN_S, `a replica was not running for ${slowest} s after its lease`);
  for (const id of SERVICES) assert.equal(result.simulation.runningTasks(id), REPLICAS, id);
  const progress = result.simulation.history.filter(
    (entry) => entry.kind === 'end' && entry.done && entry.at > result.healedAt,
  );
  assert.ok(progress.length > 20, `${progress.length} lower-priority tasks finished after the return`);
}

const SCENARIOS: readonly (readonly [string, Scenario])[] = [
  ['a zone is partitioned once and returns', ONE_PARTITION],
  ['a zone flaps three times', { ...ONE_PARTITION, partitions: 3, pauseS: 40 }],
  ['a zone returns with fewer machines than it had', { ...ONE_PARTITION, machinesBack: 3 }],
  ['a failover in the middle of the return', { ...ONE_PARTITION, failoverAfterS: 12 }],
];

for (const [name, scenario] of SCENARIOS)
  for (const seed of [1, 2])
    test(`${name}, seed ${seed}: replicas are replaced within 30 s of their leases, and none is evicted`, () => {
      const result = runScenario(scenario, true, seed);
      check(result, checkHistory(result.simulation.history, SERVICES));
    });

const entry = (kind: 'start' | 'stopped', at: number, machine: string): HistoryEntry => ({
  kind,
  at,
  task: 'req-1/0',
  machine,
});
const end = (at: number, machine: string): HistoryEntry => ({
  kind: 'end',
  at,
  task: 'req-1/0',
  machine,
  done: false,
});

// Tests the checker itself with histories that contain one fault each.
test('the checker finds a duplicate task, an evicted replica, and one that was never replaced', () => {
  const good = [entry('start', 1, 'a'), end(10, 'a'), entry('start', 15, 'b')];
  assert.deepEqual(checkHistory(good, SERVICES).replacedAfter, [5]);
  assert.equal(checkHistory(good, SERVICES).duplicates.length, 0);
  const twice = [entry('start', 1, 'a'), entry('start', 5, 'b')];
  assert.equal(checkHistory(twice, SERVICES).duplicates.length, 1);
  const evicted = [entry('start', 1, 'a'), entry('stopped', 5, 'a'), end(5, 'a')];
  assert.equal(checkHistory(evicted, SERVICES).evicted.length, 1);
  assert.deepEqual(checkHistory(evicted, SERVICES).replacedAfter, [Infinity]);
});
