/** @file The set of a job's tasks against a plain `Set`, in random operations. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { TaskSet } from '../src/core/model/task-set.js';

const MAX_TASKS = 130;

const operation = fc.record({
  kind: fc.constantFrom('add', 'delete', 'addRange', 'deleteRange'),
  first: fc.nat(MAX_TASKS + 10),
  length: fc.nat(70),
});

/** Applies an operation to both sets, and checks that it returns what it changed. */
function apply(
  tasks: TaskSet,
  expected: Set<number>,
  taskCount: number,
  { kind, first, length }: { kind: string; first: number; length: number },
): void {
  const isAddition = kind.startsWith('add');
  const last = kind.endsWith('Range') ? first + length : first;
  const sizeBefore = expected.size;
  for (let task = first; task <= Math.min(last, taskCount - 1); task++)
    if (isAddition) expected.add(task);
    else expected.delete(task);
  const changed = Math.abs(expected.size - sizeBefore);
  if (kind === 'add') assert.equal(tasks.add(first), changed > 0);
  else if (kind === 'delete') assert.equal(tasks.delete(first), changed > 0);
  else if (isAddition) assert.equal(tasks.addRange({ first, last }), changed);
  else assert.equal(tasks.deleteRange({ first, last }), changed);
}

const ascending = (tasks: Iterable<number>): number[] => [...tasks].sort((a, b) => a - b);

test('a task set behaves like a set of numbers below its job’s number of tasks', () => {
  fc.assert(
    fc.property(
      fc.nat(MAX_TASKS),
      fc.boolean(),
      fc.array(operation, { maxLength: 30 }),
      fc.nat(MAX_TASKS),
      (taskCount, full, operations, end) => {
        const tasks = full ? TaskSet.full(taskCount) : new TaskSet(taskCount);
        const expected = new Set(full ? Array.from({ length: taskCount }, (_, task) => task) : []);
        for (const op of operations) apply(tasks, expected, taskCount, op);
        assert.equal(tasks.size, expected.size);
        assert.deepEqual(ascending(tasks), ascending(expected));
        for (let task = 0; task < MAX_TASKS + 10; task++) assert.equal(tasks.has(task), expected.has(task));
        const inRanges = tasks
          .rangesBetween(5, end)
          .flatMap(({ first, last }) => Array.from({ length: last - first + 1 }, (_, n) => first + n));
        const below = ascending(expected).filter((task) => task >= 5 && task < end);
        assert.deepEqual(inRanges, below);
      },
    ),
    { seed: 45, numRuns: 2000 },
  );
});

test('a task that is added again comes after those that have waited for longer, and removals during an iteration are allowed', () => {
  const tasks = TaskSet.full(5);
  const visited: number[] = [];
  for (const task of tasks) {
    visited.push(task);
    tasks.delete(task);
    if (visited.length === 3) break;
  }
  tasks.add(1);
  assert.deepEqual(visited, [0, 1, 2]);
  assert.deepEqual([...tasks], [3, 4, 1]);
});
