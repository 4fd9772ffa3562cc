/** @file A simulated worker: its tasks, its lease, and what it does with commands. */
import type { Heartbeat, ReportedTask } from '../../src/core/model/heartbeat.js';
import { toSeconds } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import { CLUSTER_CONFIG } from '../fixtures/cluster-config.js';

/** A task on a simulated worker, with the time at which it ends by itself, in simulated seconds. */
export type SimulatedTask = ReportedTask & { endsAt: number };

/** A worker. All times are in simulated seconds. */
export class SimulatedWorker {
  agentEpoch = 1;
  sequence = 0;
  fencingToken = 0;
  partitioned = false;
  /** Its heartbeats arrive; responses and commands to it do not. */
  inboundLost = false;
  /** Its heartbeats do not arrive; commands to it do. */
  outboundLost = false;
  /** It is paused until this time; messages to it are delivered afterwards. */
  pausedUntil = 0;
  /** Its last heartbeat has no response yet: until this time it sends no further one. */
  awaitsResponseUntil = 0;
  readonly tasks = new Map<string, SimulatedTask>();

  constructor(
    readonly name: string,
    /** When the last answered heartbeat was sent. */
    public lastRenewedAt: number,
    /** Called before a task starts; checks that it may, and returns when it will end. */
    private readonly beforeStart: (worker: SimulatedWorker, command: WorkerCommand) => number,
    /** Called with each start: true if the worker refuses it for lack of resources. */
    private readonly refusesStart: () => boolean = () => false,
  ) {}

  /** Ends all tasks and begins a new agent epoch if the lease has expired. */
  expireLease(now: number): void {
    if (now - this.lastRenewedAt <= toSeconds(CLUSTER_CONFIG.workerLease)) return;
    this.tasks.clear();
    this.agentEpoch += 1;
    this.sequence = 0;
    this.lastRenewedAt = now;
  }

  /** Executes commands in order, unless their fencing token is outdated. */
  applyCommands(token: number, commands: readonly WorkerCommand[]): void {
    if (token < this.fencingToken) return;
    this.fencingToken = token;
    for (const command of commands) {
      const key = `${command.jobId}/${command.taskIndex}#${command.attempt}`;
      const existing = this.tasks.get(key);
      if (command.op === 'start' && existing === undefined) this.startTask(command, key);
      if (command.op === 'stop' && existing !== undefined && existing.state !== 'exited')
        this.tasks.set(key, { ...existing, state: 'exited', exitReason: 'stopped' });
      if (command.op === 'forget' && existing?.state === 'exited') this.tasks.delete(key);
    }
  }

  private startTask(command: WorkerCommand, key: string): void {
    if (this.refusesStart()) return this.recordRefusal(command, key);
    const endsAt = this.beforeStart(this, command);
    const { jobId, taskIndex, attempt } = command;
    this.tasks.set(key, {
      ...{ jobId, taskIndex, attempt, state: 'running', exitReason: null, checkpointed: false },
      endsAt,
    });
  }

  private recordRefusal({ jobId, taskIndex, attempt }: WorkerCommand, key: string): void {
    this.tasks.set(key, {
      ...{ jobId, taskIndex, attempt, state: 'exited', exitReason: 'full', checkpointed: false },
      endsAt: 0,
    });
  }

  /** A paused machine runs nothing: its tasks end later by the length of the pause. */
  delayTasks(seconds: number): void {
    for (const [key, task] of this.tasks) this.tasks.set(key, { ...task, endsAt: task.endsAt + seconds });
  }

  /** Ends the tasks whose time has come, each with the reason that `exitReason` returns. */
  endDueTasks(now: number, exitReason: () => string): void {
    for (const [key, task] of this.tasks)
      if (task.state === 'running' && task.endsAt <= now)
        this.tasks.set(key, { ...task, state: 'exited', exitReason: exitReason() });
  }

  /** Makes the next heartbeat, which the worker sends by itself or in the answer to a direct call. */
  nextHeartbeat(): Heartbeat {
    this.sequence += 1;
    const tasks = [...this.tasks.values()].map(
      ({ jobId, taskIndex, attempt, state, exitReason, checkpointed }) => ({
        ...{ jobId, taskIndex, attempt, state, exitReason, checkpointed },
      }),
    );
    return {
      machineName: this.name,
      endpoint: `${this.name}:1`,
      type: 'big',
      zone: this.name < 'm3' ? 'east' : 'west',
      spot: false,
      agentEpoch: this.agentEpoch,
      sequence: this.sequence,
      fencingToken: this.fencingToken,
      preemptionNotice: null,
      tasks,
    };
  }
}
