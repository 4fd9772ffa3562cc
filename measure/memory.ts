/** @file Memory use of the parts of a controller, each created separately. */
import { connect, createServer, type Socket } from 'node:net';
import type { JobRecord } from '../src/core/model/job.js';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import { TaskCounts } from '../src/edge/state-store/task-counts.js';
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { FinishedJobCompactor } from '../src/edge/state-store/finished-job-compactor.js';
import { HeartbeatQueue } from '../src/edge/http/heartbeat-queue.js';
import { readHeartbeats, type HeartbeatReaderOptions } from '../src/edge/http/heartbeat-reader.js';
import { jobKey, pageKey } from '../src/wire/keys.js';
import { encodeJob } from '../src/wire/job-record.js';
import { encodePage } from '../src/wire/page-record.js';
import { CLUSTER_CONFIG, jobSpec } from '../test/fixtures/cluster-config.js';
import { timeAt } from '../test/fixtures/clock.js';
import { ReplicaStandIn } from '../test/fixtures/replica.js';
import { createSchedulerWithType } from '../test/fixtures/scheduler.js';

/**
 * Measures the memory of the parts of a controller, which are created one after another in one process, after a full
 * garbage collection each. Run by hand: `npm run memory -- MACHINES OPEN_JOBS FINISHED_JOBS`. The memory of the engine
 * itself is part of "engine and program".
 */
const [machines = 870, openJobs = 120, finishedJobs = 5000] = process.argv.slice(2).map(Number);
const TASKS_PER_JOB = 20;

interface MemoryUsage {
  readonly heap: number;
  readonly buffers: number;
  readonly rss: number;
}

function measureMemory(): MemoryUsage {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external, rss } = process.memoryUsage();
  return { heap: heapUsed, buffers: external, rss };
}

const megabytes = (bytes: number): string => (bytes / 2 ** 20).toFixed(2).padStart(8);
let previousUsage = measureMemory();

function printGrowth(part: string): void {
  const usage = measureMemory();
  const row = [
    usage.heap - previousUsage.heap,
    usage.buffers - previousUsage.buffers,
    usage.rss - previousUsage.rss,
  ].map(megabytes);
  console.log(
    `${part.padEnd(56)} heap ${row[0] ?? ''} MB, buffers ${row[1] ?? ''} MB, resident ${row[2] ?? ''} MB`,
  );
  previousUsage = usage;
}

const scheduler = createSchedulerWithType();

const machineNameOf = (n: number): string => `n-${String(n).padStart(6, '0')}`;

function heartbeatOf(n: number, sequence: number): Heartbeat {
  const machine = {
    machineName: machineNameOf(n),
    endpoint: `10.1.0.${n}:9000`,
    type: 'big',
    zone: 'east',
    spot: false,
  };
  return { ...machine, agentEpoch: 1, sequence, fencingToken: 1, preemptionNotice: null, tasks: [] };
}

const jobRecordOf = (n: number, status: JobRecord['status']): JobRecord => ({
  spec: jobSpec(`req-${n}`, { taskCount: TASKS_PER_JOB }),
  submittedAt: timeAt(0).wall,
  status,
});

async function openConnections(): Promise<() => void> {
  const options: HeartbeatReaderOptions = {
    maxBodyBytes: 65_536,
    queue: new HeartbeatQueue(),
    respond: () => ({ status: 503, body: Buffer.alloc(0) }),
    handOver: () => undefined,
    rotatesConnections: () => false,
  };
  const inbound = new Set<Socket>();
  const server = createServer((socket) => {
    inbound.add(socket);
    readHeartbeats(socket, options);
  });
  await new Promise<void>((listening) => server.listen(0, '127.0.0.1', listening));
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const outbound = await Promise.all(
    Array.from(
      { length: machines },
      () =>
        new Promise<Socket>((connected) => {
          const socket = connect(port, '127.0.0.1', () => connected(socket));
        }),
    ),
  );
  return () => {
    server.close();
    for (const socket of [...inbound, ...outbound]) socket.destroy();
  };
}

async function main(): Promise<void> {
  console.log(
    `engine and program (compiled by tsx): resident ${megabytes(previousUsage.rss)} MB, heap ${megabytes(previousUsage.heap)} MB`,
  );
  for (let n = 0; n < machines; n++)
    scheduler.handle({ kind: 'heartbeat', heartbeat: heartbeatOf(n, 1) }, timeAt(0));
  printGrowth(`${machines} machine records`);
  for (let n = 0; n < openJobs; n++)
    scheduler.handle(
      { kind: 'job-changed', id: `req-${n}`, record: jobRecordOf(n, 'open'), modRevision: n + 1 },
      timeAt(1),
    );
  printGrowth(`${openJobs} open jobs of ${TASKS_PER_JOB} tasks, as assigned by the leader`);
  const standIn = new ReplicaStandIn();
  const taskCounts = new TaskCounts(standIn);
  const compactor = new FinishedJobCompactor(standIn, taskCounts);
  const pageCache = new DecodedPageCache();
  const subscription = compactor.start();
  for (let n = 0; n < openJobs; n++) standIn.put(jobKey(`req-${n}`), encodeJob(jobRecordOf(n, 'open')));
  printGrowth('their records in the replica');
  for (let n = 0; n < openJobs / 2; n++) {
    const assignments = Array.from({ length: 40 }, (_, task) => ({
      ...{ taskIndex: task, attempt: 1, machineName: machineNameOf(task), agentEpoch: 1, zone: 'east' },
    }));
    standIn.put(
      pageKey('all', n),
      encodePage(
        [
          {
            jobId: `req-${n}`,
            chunkIndex: 0,
            record: { highestAttempt: 1, completedTasks: [], assignments },
          },
        ],
        CLUSTER_CONFIG.zones,
      ),
    );
    const entry = standIn.replica.get(pageKey('all', n));
    if (entry !== undefined) pageCache.entriesOf(entry);
  }
  printGrowth(`${openJobs / 2} pages of 40 assignments, decoded`);
  for (let n = 0; n < finishedJobs; n++) standIn.put(jobKey(`req-9${n}`), encodeJob(jobRecordOf(n, 'done')));
  compactor.sweep();
  printGrowth(`${finishedJobs} finished jobs in the replica`);
  const close = await openConnections();
  printGrowth(`${machines} worker connections, both ends`);
  close();
  subscription.unsubscribe();
}

void main().then(() => process.exit(0));
