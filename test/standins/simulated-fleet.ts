/** @file A scheduler with a simulated fleet and state store, without messages in flight. */
import type { Effect } from '../../src/core/model/effects.js';
import type { JobRecord, JobSpec } from '../../src/core/model/job.js';
import type { MachineType } from '../../src/core/model/machine.js';
import type { Heartbeat, ReportedTask } from '../../src/core/model/heartbeat.js';
import { operationCount } from '../../src/core/model/transaction.js';
import { ClusterScheduler } from '../../src/core/cluster-scheduler.js';
import type { Event } from '../../src/core/model/events.js';
import { previousLeadersDeadlineFrom } from '../../src/core/state/leadership-timing.js';
import type { PageEntry } from '../../src/core/model/records.js';
import { seconds, type Timestamp } from '../../src/core/model/time.js';
import { DEFAULT_SETTINGS } from '../../src/edge/config/operator-settings.js';
import { CLUSTER_CONFIG, jobSpec } from '../fixtures/cluster-config.js';

/** How often each machine reports. */
const HEARTBEAT_INTERVAL_S = 4;

const LARGE_MACHINE: MachineType = {
  name: 'big',
  cpus: 48,
  gpus: 4,
  memory: 288,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 4,
  bootTime: seconds(30),
  zones: ['east', 'west'],
};

/** How a version writes records and reads them. */
export interface RecordCodec {
  writeJob(record: JobRecord): unknown;
  readJob(value: unknown): JobRecord;
  writePage(entries: readonly PageEntry[], zones: readonly string[]): unknown;
  readPage(value: unknown): readonly PageEntry[];
}

/** Records kept as they are, where it does not matter how they are written. */
const IDENTITY_CODEC: RecordCodec = {
  writeJob: (record) => record,
  readJob: (value) => value as JobRecord,
  writePage: (entries) => entries,
  readPage: (value) => value as readonly PageEntry[],
};

/** A key of the state store. */
interface StoredValue {
  readonly value: unknown;
  readonly modRevision: number;
}

/** The scheduler with a fleet that reports to it and a state store that carries out its transactions. */
export class SimulatedFleet {
  private secondsElapsed = 0;
  private revision = 100;
  scheduler: ClusterScheduler;
  readonly tasks = new Map<string, ReportedTask[]>();
  private readonly sequences = new Map<string, number>();
  readonly jobs = new Map<string, StoredValue>();
  readonly pages = new Map<number, StoredValue>();
  operations = 0;
  commits = 0;

  constructor(
    readonly machineCount: number,
    /** Of the version that leads. */
    public codec: RecordCodec = IDENTITY_CODEC,
  ) {
    this.scheduler = this.startTerm();
  }

  now(): Timestamp {
    return {
      monotonic: seconds(1000 + this.secondsElapsed),
      wall: new Date(Date.UTC(2030, 0, 1) + this.secondsElapsed * 1000),
    };
  }

  startTerm(): ClusterScheduler {
    const began = this.now().monotonic;
    this.scheduler = new ClusterScheduler(
      {
        ...CLUSTER_CONFIG,
        heartbeatInterval: seconds(HEARTBEAT_INTERVAL_S),
        workerLease: seconds(24),
        cancellationDeadline: seconds(49),
      },
      DEFAULT_SETTINGS,
      {
        fencingToken: ++this.revision,
        startedAt: began,
        confirmedAt: began,
        previousLeadersDeadline: previousLeadersDeadlineFrom(CLUSTER_CONFIG, began),
      },
    );
    this.handle({ kind: 'machine-types', types: [LARGE_MACHINE] });
    for (const [id, { value, modRevision: stamp }] of this.jobs)
      this.handle({ kind: 'job-changed', id, record: this.codec.readJob(value), modRevision: stamp });
    for (const [id, { value, modRevision: stamp }] of this.pages)
      this.handle({ kind: 'page-loaded', id, entries: this.codec.readPage(value), modRevision: stamp });
    this.handle({ kind: 'load-completed' });
    return this.scheduler;
  }

  handle(event: Event): readonly Effect[] {
    return this.scheduler.handle(event, this.now());
  }

  /** Time goes on, and each machine goes on reporting. */
  advance(s: number): void {
    const before = Math.floor(this.secondsElapsed / HEARTBEAT_INTERVAL_S);
    this.secondsElapsed += s;
    if (Math.floor(this.secondsElapsed / HEARTBEAT_INTERVAL_S) > before) this.sendHeartbeats();
    this.handle({ kind: 'leadership-confirmed', confirmedAt: this.now().monotonic });
  }

  machineName(n: number): string {
    return `n-${String(n).padStart(6, '0')}`;
  }

  nextHeartbeat(n: number): Heartbeat {
    const name = this.machineName(n);
    const seq = (this.sequences.get(name) ?? 0) + 1;
    this.sequences.set(name, seq);
    return {
      machineName: name,
      endpoint: '127.0.0.1:1',
      type: 'big',
      zone: n % 2 === 0 ? 'east' : 'west',
      spot: false,
      agentEpoch: 1,
      sequence: seq,
      fencingToken: this.scheduler.state.term.fencingToken,
      preemptionNotice: null,
      tasks: this.tasks.get(name) ?? [],
    };
  }

  sendHeartbeat(n: number): void {
    const name = this.machineName(n);
    const heartbeat = this.nextHeartbeat(n);
    this.handle({ kind: 'heartbeat', heartbeat });
    const held = (this.tasks.get(name) ?? []).slice();
    for (const command of this.scheduler.answerHeartbeat(heartbeat, this.now())) {
      const at = held.findIndex(
        (task) =>
          task.jobId === command.jobId &&
          task.taskIndex === command.taskIndex &&
          task.attempt === command.attempt,
      );
      if (command.op === 'start' && at < 0)
        held.push({
          jobId: command.jobId,
          taskIndex: command.taskIndex,
          attempt: command.attempt,
          state: 'running',
          exitReason: null,
          checkpointed: false,
        });
      const task = held[at];
      if (command.op === 'stop' && task !== undefined)
        held[at] = { ...task, state: 'exited', exitReason: task.exitReason ?? 'stopped' };
      if (command.op === 'forget' && at >= 0) held.splice(at, 1);
    }
    this.tasks.set(name, held);
  }

  sendHeartbeats(): void {
    for (let n = 0; n < this.machineCount; n++) this.sendHeartbeat(n);
  }

  submit(id: string, over: Partial<JobSpec>): void {
    const record: JobRecord = { spec: jobSpec(id, over), submittedAt: this.now().wall, status: 'open' };
    this.storeJob(id, this.codec.writeJob(record));
  }

  /** A job's record is written, by any controller, and the leader follows it. */
  storeJob(id: string, value: unknown): void {
    const stamp = ++this.revision;
    this.jobs.set(id, { value, modRevision: stamp });
    this.handle({ kind: 'job-changed', id, record: this.codec.readJob(value), modRevision: stamp });
  }

  /** Carries out transactions until nothing is due. */
  commit(): void {
    for (;;) {
      const transaction = this.scheduler.nextTransaction(this.now());
      if (transaction === null) return;
      const stamp = ++this.revision;
      this.commits += 1;
      this.operations += operationCount(transaction);
      for (const page of transaction.pages)
        this.pages.set(page.id, {
          value: this.codec.writePage(page.entries, CLUSTER_CONFIG.zones),
          modRevision: stamp,
        });
      for (const id of transaction.completedJobs) this.finishJob(id, 'done', stamp);
      for (const id of transaction.cancelledJobs) this.finishJob(id, 'cancelled', stamp);
      this.handle({ kind: 'transaction-committed', transaction, modRevision: stamp });
    }
  }

  /** The leader writes the end of a job from what it holds in memory. */
  private finishJob(id: string, standing: 'done' | 'cancelled', stamp: number): void {
    const job = this.scheduler.state.jobs.byId.get(id);
    if (job === undefined) return;
    const { spec, submittedAt: submitted } = job;
    this.jobs.set(id, {
      value: this.codec.writeJob({ spec, submittedAt: submitted, status: standing }),
      modRevision: stamp,
    });
  }

  /** Has one running task of a machine end well; false: it has none. */
  finishOneTask(n: number): boolean {
    const held = this.tasks.get(this.machineName(n)) ?? [];
    const task = held.find((each) => each.state === 'running');
    if (task === undefined) return false;
    this.exitTask(n, task);
    return true;
  }

  /** Has all running tasks of a job on a machine end well. */
  finishTasksOf(n: number, job: string): void {
    for (const task of this.tasks.get(this.machineName(n)) ?? [])
      if (task.jobId === job && task.state === 'running') this.exitTask(n, task);
  }

  private exitTask(n: number, task: ReportedTask): void {
    const held = this.tasks.get(this.machineName(n)) ?? [];
    this.tasks.set(
      this.machineName(n),
      held.map((each) => (each === task ? { ...each, state: 'exited', exitReason: 'done' } : each)),
    );
  }
}
