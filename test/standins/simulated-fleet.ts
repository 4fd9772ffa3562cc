/** @file A scheduler with a simulated fleet and state store, without message delays. */
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

/** Seconds between two heartbeats of a machine. */
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

/** Writes and reads the stored records as one version of the program does. */
export interface RecordCodec {
  writeJob(record: JobRecord): unknown;
  readJob(value: unknown): JobRecord;
  writePage(entries: readonly PageEntry[], zones: readonly string[]): unknown;
  readPage(value: unknown): readonly PageEntry[];
}

/** Stores records unencoded, for tests in which the format does not matter. */
const IDENTITY_CODEC: RecordCodec = {
  writeJob: (record) => record,
  readJob: (value) => value as JobRecord,
  writePage: (entries) => entries,
  readPage: (value) => value as readonly PageEntry[],
};

/** The value of a key in the state store. */
interface StoredValue {
  readonly value: unknown;
  readonly modRevision: number;
}

/** The scheduler with a fleet that sends heartbeats to it and a state store that commits its transactions. */
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
    /** The codec of the leader's version. */
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
    const startedAt = this.now().monotonic;
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
        startedAt,
        confirmedAt: startedAt,
        previousLeadersDeadline: previousLeadersDeadlineFrom(CLUSTER_CONFIG, startedAt),
      },
    );
    this.handle({ kind: 'machine-types', types: [LARGE_MACHINE] });
    for (const [id, { value, modRevision }] of this.jobs)
      this.handle({ kind: 'job-changed', id, record: this.codec.readJob(value), modRevision });
    for (const [id, { value, modRevision }] of this.pages)
      this.handle({ kind: 'page-loaded', id, entries: this.codec.readPage(value), modRevision });
    this.handle({ kind: 'load-completed' });
    return this.scheduler;
  }

  handle(event: Event): readonly Effect[] {
    return this.scheduler.handle(event, this.now());
  }

  /** Advances the clock, sends all heartbeats if an interval has passed, and confirms the leadership. */
  advance(elapsedSeconds: number): void {
    const before = Math.floor(this.secondsElapsed / HEARTBEAT_INTERVAL_S);
    this.secondsElapsed += elapsedSeconds;
    if (Math.floor(this.secondsElapsed / HEARTBEAT_INTERVAL_S) > before) this.sendHeartbeats();
    this.handle({
      kind: 'leadership-confirmed',
      confirmedAt: this.now().monotonic,
      revision: this.revision,
    });
  }

  machineName(n: number): string {
    return `n-${String(n).padStart(6, '0')}`;
  }

  nextHeartbeat(machineIndex: number): Heartbeat {
    const name = this.machineName(machineIndex);
    const sequence = (this.sequences.get(name) ?? 0) + 1;
    this.sequences.set(name, sequence);
    return {
      machineName: name,
      endpoint: '127.0.0.1:1',
      type: 'big',
      zone: machineIndex % 2 === 0 ? 'east' : 'west',
      spot: false,
      agentEpoch: 1,
      sequence,
      fencingToken: this.scheduler.fencingTokenFor(name),
      preemptionNotice: null,
      tasks: this.tasks.get(name) ?? [],
    };
  }

  sendHeartbeat(machineIndex: number): void {
    const name = this.machineName(machineIndex);
    const heartbeat = this.nextHeartbeat(machineIndex);
    this.handle({ kind: 'heartbeat', heartbeat });
    const tasks = (this.tasks.get(name) ?? []).slice();
    for (const command of this.scheduler.answerHeartbeat(heartbeat, this.now()).commands) {
      const index = tasks.findIndex(
        (task) =>
          task.jobId === command.jobId &&
          task.taskIndex === command.taskIndex &&
          task.attempt === command.attempt,
      );
      if (command.op === 'start' && index < 0)
        tasks.push({
          jobId: command.jobId,
          taskIndex: command.taskIndex,
          attempt: command.attempt,
          state: 'running',
          exitReason: null,
          checkpointed: false,
        });
      const task = tasks[index];
      if (command.op === 'stop' && task !== undefined)
        tasks[index] = { ...task, state: 'exited', exitReason: task.exitReason ?? 'stopped' };
      if (command.op === 'forget' && index >= 0) tasks.splice(index, 1);
    }
    this.tasks.set(name, tasks);
  }

  sendHeartbeats(): void {
    for (let n = 0; n < this.machineCount; n++) this.sendHeartbeat(n);
  }

  submit(id: string, overrides: Partial<JobSpec>): void {
    const record: JobRecord = { spec: jobSpec(id, overrides), submittedAt: this.now().wall, status: 'open' };
    this.storeJob(id, this.codec.writeJob(record));
  }

  /** Stores a job's record, as any controller may, and passes the change on to the leader. */
  storeJob(id: string, value: unknown): void {
    const modRevision = ++this.revision;
    this.jobs.set(id, { value, modRevision });
    this.handle({ kind: 'job-changed', id, record: this.codec.readJob(value), modRevision });
  }

  /** Commits transactions until the scheduler has none. */
  commit(): void {
    for (;;) {
      const transaction = this.scheduler.nextTransaction(this.now());
      if (transaction === null) return;
      const modRevision = ++this.revision;
      this.commits += 1;
      this.operations += operationCount(transaction);
      for (const page of transaction.pages)
        this.pages.set(page.id, {
          value: this.codec.writePage(page.entries, CLUSTER_CONFIG.zones),
          modRevision,
        });
      for (const id of transaction.completedJobs) this.finishJob(id, 'done', modRevision);
      for (const id of transaction.cancelledJobs) this.finishJob(id, 'cancelled', modRevision);
      this.handle({ kind: 'transaction-committed', transaction, modRevision });
    }
  }

  /** Stores the final status of a job. Like the leader, it writes the record from the scheduler's memory. */
  private finishJob(id: string, status: 'done' | 'cancelled', modRevision: number): void {
    const job = this.scheduler.state.jobs.byId.get(id);
    if (job === undefined) return;
    const { spec, submittedAt } = job;
    this.jobs.set(id, {
      value: this.codec.writeJob({ spec, submittedAt, status }),
      modRevision,
    });
  }

  /** Ends one running task of a machine successfully; returns false if the machine runs none. */
  finishOneTask(machineIndex: number): boolean {
    const tasks = this.tasks.get(this.machineName(machineIndex)) ?? [];
    const task = tasks.find((each) => each.state === 'running');
    if (task === undefined) return false;
    this.exitTask(machineIndex, task);
    return true;
  }

  /** Ends all running tasks of a job on a machine successfully. */
  finishTasksOf(machineIndex: number, jobId: string): void {
    for (const task of this.tasks.get(this.machineName(machineIndex)) ?? [])
      if (task.jobId === jobId && task.state === 'running') this.exitTask(machineIndex, task);
  }

  private exitTask(machineIndex: number, task: ReportedTask): void {
    const tasks = this.tasks.get(this.machineName(machineIndex)) ?? [];
    this.tasks.set(
      this.machineName(machineIndex),
      tasks.map((each) => (each === task ? { ...each, state: 'exited', exitReason: 'done' } : each)),
    );
  }
}
