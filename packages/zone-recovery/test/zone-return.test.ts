import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judge, type Findings } from './history.js';
import { ONE_CUT, play, REPLICAS, SERVICES, type Played, type Scenario } from './scenario.js';
import type { Entry } from './zone-world.js';

/** What the operators asked for: seconds from the end of a replica's lease to its running elsewhere. */
const REPLACED_WITHIN_S = 30;

function check(played: Played, findings: Findings): void {
  assert.deepEqual(findings.duplicates, [], 'no task ran in two places');
  assert.deepEqual(findings.evicted, [], 'no replica was stopped');
  assert.ok(findings.replacedAfter.length > 0, 'the cut hit replicas');
  const slowest = findings.replacedAfter[findings.replacedAfter.length - 1] ?? Infinity;
  assert.ok(slowest <= REPLACED_WITHIN_S, `a replica was away for ${slowest} s after its lease`);
  for (const id of SERVICES) assert.equal(played.world.running(id), REPLICAS, id);
  const progress = played.world.record.filter(
    (entry) => entry.kind === 'end' && entry.done && entry.at > played.healedAt,
  );
  assert.ok(progress.length > 20, `${progress.length} tasks of lower work were done after the return`);
}

const SCENARIOS: readonly (readonly [string, Scenario])[] = [
  ['a zone is cut once and comes back', ONE_CUT],
  ['a zone flaps three times', { ...ONE_CUT, cuts: 3, pauseS: 40 }],
  ['a zone comes back with fewer machines than it left with', { ...ONE_CUT, comeBack: 3 }],
  ['another owner takes over in the middle of the return', { ...ONE_CUT, takeoverAfterS: 12 }],
];

for (const [name, scenario] of SCENARIOS)
  for (const seed of [1, 2])
    test(`${name}, seed ${seed}: replicas run again within 30 s of their leases, and none is evicted`, () => {
      const played = play(scenario, true, seed);
      check(played, judge(played.world.record, SERVICES));
    });

const entry = (kind: 'start' | 'stopped', at: number, machine: string): Entry => ({
  kind,
  at,
  task: 'req-1/0',
  machine,
});
const end = (at: number, machine: string): Entry => ({
  kind: 'end',
  at,
  task: 'req-1/0',
  machine,
  done: false,
});

// The checker itself: each fault is found when it is put into a record.
test('the checker finds a task in two places, a replica that was stopped, and one that never came back', () => {
  const good = [entry('start', 1, 'a'), end(10, 'a'), entry('start', 15, 'b')];
  assert.deepEqual(judge(good, SERVICES).replacedAfter, [5]);
  assert.equal(judge(good, SERVICES).duplicates.length, 0);
  const twice = [entry('start', 1, 'a'), entry('start', 5, 'b')];
  assert.equal(judge(twice, SERVICES).duplicates.length, 1);
  const evicted = [entry('start', 1, 'a'), entry('stopped', 5, 'a'), end(5, 'a')];
  assert.equal(judge(evicted, SERVICES).evicted.length, 1);
  assert.deepEqual(judge(evicted, SERVICES).replacedAfter, [Infinity]);
});
