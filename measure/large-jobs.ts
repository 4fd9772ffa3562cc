/**
 * @file Memory and time that jobs with the largest number of tasks cost a controller. Memory is measured after a full
 * garbage collection, the time of which is not counted. Run by hand: `npm run large-jobs -- JOBS TASKS`.
 */
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { ImageCacheObserver } from '../src/edge/state-store/image-cache-observer.js';
import { TaskCounts } from '../src/edge/state-store/task-counts.js';
import { createLogger } from '../src/edge/runtime/logger.js';
import {
  fillWithNearlyCompletedJobs,
  leaderWithPendingJobs,
  runCycles,
  takeOver,
} from '../test/fixtures/large-jobs.js';
import { usedBytes } from '../test/fixtures/memory.js';
import { ReplicaStandIn } from '../test/fixtures/replica.js';

const [jobs = 70, tasksPerJob = 100_000] = process.argv.slice(2).map(Number);
const large = { jobs, tasksPerJob };
const CYCLES = 20;

/** Runs a step, and prints the memory that it adds and the time that it takes. */
function measureStep<Result>(step: string, run: () => Result): Result {
  const bytesBefore = usedBytes();
  const startedAt = performance.now();
  const result = run();
  const elapsedMs = performance.now() - startedAt;
  const megabytes = (usedBytes() - bytesBefore) / 2 ** 20;
  console.log(
    `${step.padEnd(60)} ${megabytes.toFixed(2).padStart(8)} MB ${elapsedMs.toFixed(0).padStart(7)} ms`,
  );
  return result;
}

function measurePendingJobs(): void {
  const scheduler = measureStep('leader: the jobs, pending', () => leaderWithPendingJobs(large));
  measureStep(`leader: ${CYCLES} scheduling cycles with them`, () => runCycles(scheduler, CYCLES));
  console.log(`  ${scheduler.state.jobs.pending.size} jobs pending`);
}

function measureCompletedTasks(): void {
  const replica = new ReplicaStandIn();
  const pageCache = new DecodedPageCache();
  const counts = new TaskCounts(replica);
  const observer = new ImageCacheObserver(replica, createLogger('measure'), pageCache, () => false);
  const subscription = observer.start();
  measureStep('standby: the jobs, all tasks but one of each completed', () =>
    fillWithNearlyCompletedJobs(replica, large),
  );
  const scheduler = measureStep('leader: takeover of these records', () =>
    takeOver(replica, large, pageCache),
  );
  measureStep(`leader: ${CYCLES} scheduling cycles with them`, () => runCycles(scheduler, CYCLES));
  console.log(
    `  ${scheduler.state.jobs.pending.size} jobs pending, ${counts.of('req-000000').completed} tasks of the first completed`,
  );
  subscription.unsubscribe();
}

console.log(
  `${jobs} jobs of ${tasksPerJob} tasks; engine and program ${(usedBytes() / 2 ** 20).toFixed(1)} MB`,
);
measurePendingJobs();
measureCompletedTasks();
process.exit(0);
