/** @file Memory of the parts of a controller, each built alone. */
import { connect, createServer, type Socket } from 'node:net';
import { Subject } from 'rxjs';
import type { JobRecord } from '../src/core/model/job.js';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import { TaskCounts } from '../src/edge/state-store/task-counts.js';
import { DecodedPageCache } from '../src/edge/state-store/decoded-page-cache.js';
import { FinishedJobCompactor } from '../src/edge/state-store/finished-job-compactor.js';
import { HeartbeatQueue } from '../src/edge/http/heartbeat-queue.js';
import { readHeartbeats, type HeartbeatReaderOptions } from '../src/edge/http/heartbeat-reader.js';
import type { KeyChange, ReplicaEntry } from '../src/edge/state-store/replica-view.js';
import { jobKey, pageKey } from '../src/wire/keys.js';
import { encodeJob } from '../src/wire/job-record.js';
import { encodePage } from '../src/wire/page-record.js';
import type { FinishedJobSummary } from '../src/wire/finished-job-summary.js';
import { decode, encode } from '../src/wire/cbor.js';
import { CLUSTER_CONFIG, jobSpec } from '../test/fixtures/cluster-config.js';
import { timeAt } from '../test/fixtures/clock.js';
import { createSchedulerWithType } from '../test/fixtures/scheduler.js';

/**
 * What the parts of a controller hold, each built alone in one process and looked at after a full collection. Run by
 * hand: `npm run memory -- MACHINES OPEN_JOBS FINISHED_JOBS`. The engine's own pages are in "engine and program".
 */
const [machines = 870, openJobs = 120, finishedJobs = 5000] = process.argv.slice(2).map(Number);
const TASKS = 20;

interface Held {
  readonly heap: number;
  readonly buffers: number;
  readonly rss: number;
}

function held(): Held {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external, rss } = process.memoryUsage();
  return { heap: heapUsed, buffers: external, rss };
}

const megabytes = (bytes: number): string => (bytes / 2 ** 20).toFixed(2).padStart(8);
let last = held();

function tell(part: string): void {
  const now = held();
  const row = [now.heap - last.heap, now.buffers - last.buffers, now.rss - last.rss].map(megabytes);
  console.log(
    `${part.padEnd(56)} heap ${row[0] ?? ''} MB, buffers ${row[1] ?? ''} MB, resident ${row[2] ?? ''} MB`,
  );
  last = now;
}

/** A followed copy without a state store. */
class Copy {
  readonly replica = new Map<string, ReplicaEntry>();
  readonly changes = new Subject<KeyChange>();
  readonly reloading = false;
  private stamp = 0;

  put(key: string, value: unknown): void {
    // As it comes over the wire: nothing is shared with what wrote it.
    const entry = { value: decode(encode(value)), modRevision: ++this.stamp };
    this.replica.set(key, entry);
    this.changes.next({ key, entry });
  }

  replaceWithSummary(key: string, value: FinishedJobSummary): void {
    this.replica.set(key, { value, modRevision: this.replica.get(key)?.modRevision ?? 0 });
  }
}

const scheduler = createSchedulerWithType();

const nameOf = (n: number): string => `n-${String(n).padStart(6, '0')}`;

function reportOf(n: number, seq: number): Heartbeat {
  const machine = {
    machineName: nameOf(n),
    endpoint: `10.1.0.${n}:9000`,
    type: 'big',
    zone: 'east',
    spot: false,
  };
  return { ...machine, agentEpoch: 1, sequence: seq, fencingToken: 1, preemptionNotice: null, tasks: [] };
}

const recordOf = (n: number, standing: JobRecord['status']): JobRecord => ({
  spec: jobSpec(`req-${n}`, { taskCount: TASKS }),
  submittedAt: timeAt(0).wall,
  status: standing,
});

async function connections(): Promise<() => void> {
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
    `engine and program (compiled by tsx): resident ${megabytes(last.rss)} MB, heap ${megabytes(last.heap)} MB`,
  );
  for (let n = 0; n < machines; n++)
    scheduler.handle({ kind: 'heartbeat', heartbeat: reportOf(n, 1) }, timeAt(0));
  tell(`${machines} machine records`);
  for (let n = 0; n < openJobs; n++)
    scheduler.handle(
      { kind: 'job-changed', id: `req-${n}`, record: recordOf(n, 'open'), modRevision: n + 1 },
      timeAt(1),
    );
  tell(`${openJobs} open jobs of ${TASKS} tasks, as assigned by the leader`);
  const copy = new Copy();
  const counts = new TaskCounts(copy);
  const ended = new FinishedJobCompactor(copy, counts);
  const pages = new DecodedPageCache();
  const routine = ended.start();
  for (let n = 0; n < openJobs; n++) copy.put(jobKey(`req-${n}`), encodeJob(recordOf(n, 'open')));
  tell('their records in the followed copy');
  for (let n = 0; n < openJobs / 2; n++) {
    const intents = Array.from({ length: 40 }, (_, task) => ({
      ...{ taskIndex: task, attempt: 1, machineName: nameOf(task), agentEpoch: 1, zone: 'east' },
    }));
    copy.put(
      pageKey('all', n),
      encodePage(
        [
          {
            jobId: `req-${n}`,
            chunkIndex: 0,
            record: { highestAttempt: 1, completedTasks: [], assignments: intents },
          },
        ],
        CLUSTER_CONFIG.zones,
      ),
    );
    const entry = copy.replica.get(pageKey('all', n));
    if (entry !== undefined) pages.entriesOf(entry);
  }
  tell(`${openJobs / 2} pages of 40 places, taken apart`);
  for (let n = 0; n < finishedJobs; n++) copy.put(jobKey(`req-9${n}`), encodeJob(recordOf(n, 'done')));
  ended.sweep();
  tell(`${finishedJobs} finished jobs in the followed copy`);
  const close = await connections();
  tell(`${machines} workers' connections, and the other ends of them`);
  close();
  routine.unsubscribe();
}

void main().then(() => process.exit(0));
