/** @file The dependency graph: readiness, cancellation and cost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyGraph } from '../src/core/state/dependency-graph.js';

/** A chain in which each job depends on the one before it. */
function chain(length: number): DependencyGraph {
  const graph = new DependencyGraph();
  for (let n = 1; n < length; n++) graph.add(`j${n}`, [`j${n - 1}`]);
  return graph;
}

test('readiness and cancellation do not depend on the order in which jobs and final statuses become known', () => {
  const operations = [
    (graph: DependencyGraph) => graph.add('b', ['a']),
    (graph: DependencyGraph) => graph.add('c', ['a', 'b', 'x']),
    (graph: DependencyGraph) => graph.markFinished('a', 'done'),
    (graph: DependencyGraph) => graph.markFinished('x', 'cancelled'),
    (graph: DependencyGraph) => graph.add('d', ['c']),
  ];
  const permutations = (items: readonly number[]): number[][] =>
    items.length === 0
      ? [[]]
      : items.flatMap((n) => permutations(items.filter((m) => m !== n)).map((rest) => [n, ...rest]));
  for (const order of permutations([0, 1, 2, 3, 4])) {
    const graph = new DependencyGraph();
    const ready: string[] = [];
    const cancelled: string[] = [];
    for (const n of order) {
      const change = operations[n]?.(graph);
      ready.push(...(change?.ready ?? []));
      cancelled.push(...(change?.cancelled ?? []));
    }
    assert.deepEqual([ready, cancelled.sort()], [['b'], ['c', 'd']], order.join());
    assert.deepEqual(
      [graph.isCancelled('c'), graph.isCancelled('d'), graph.isCancelled('b')],
      [true, true, false],
    );
    assert.equal(graph.isWaiting('c'), false);
  }
});

test('a repeated final status or job changes nothing', () => {
  const graph = new DependencyGraph();
  graph.add('b', ['a']);
  assert.deepEqual(graph.markFinished('a', 'done').ready, ['b']);
  assert.deepEqual(graph.markFinished('a', 'done').ready, []);
  assert.deepEqual(graph.markFinished('a', 'cancelled').cancelled, [], 'a job that is done stays done');
  assert.equal(graph.isCancelled('b'), false);
});

// Each dependency costs constant work, not a walk over all jobs, so that thousands of jobs fit the smallest machines.
test('deep chains and wide fan-outs cost work in proportion to their dependencies alone', () => {
  const size = 5000;
  const completedChain = chain(size);
  for (let n = 0; n < size - 1; n++)
    assert.deepEqual(completedChain.markFinished(`j${n}`, 'done').ready, [`j${n + 1}`]);
  assert.ok(
    completedChain.visitedDependencies <= 4 * size,
    `${completedChain.visitedDependencies} steps along a chain`,
  );
  const cancelledChain = chain(size);
  assert.equal(cancelledChain.markFinished('j0', 'cancelled').cancelled.length, size - 1);
  assert.ok(
    cancelledChain.visitedDependencies <= 4 * size,
    `${cancelledChain.visitedDependencies} steps to cancel a chain`,
  );
  const fanOut = new DependencyGraph();
  for (let n = 0; n < size; n++) fanOut.add(`f${n}`, ['root']);
  assert.equal(fanOut.markFinished('root', 'done').ready.length, size);
  assert.ok(fanOut.visitedDependencies <= 4 * size, `${fanOut.visitedDependencies} steps for a fan-out`);
});
