/** @file The scheduler, machines in three zones, a state store and a cloud in simulated time. */
import type { Effect } from '../../../src/core/model/effects.js';
import type { WorkerCommand } from '../../../src/core/model/worker-command.js';
import type { ClusterConfig } from '../../../src/core/model/cluster-config.js';
import type { JobRecord, JobSpec } from '../../../src/core/model/job.js';
import type { MachineType } from '../../../src/core/model/machine.js';
import type { Heartbeat, ReportedTask } from '../../../src/core/model/heartbeat.js';
import { ClusterScheduler } from '../../../src/core/cluster-scheduler.js';
import type { Event } from '../../../src/core/model/events.js';
import { previousLeadersDeadlineFrom } from '../../../src/core/state/leadership-timing.js';
import type { PageEntry } from '../../../src/core/model/records.js';
import { seconds, toSeconds, type Timestamp } from '../../../src/core/model/time.js';
import { DEFAULT_SETTINGS } from '../../../src/edge/config/operator-settings.js';
import { CLUSTER_CONFIG, MACHINE_TYPE, jobSpec } from '../../../test/fixtures/cluster-config.js';
import { ZoneRecovery } from '../src/index.js';

/** The zones of the simulated deployment. */
export const ZONES = ['east', 'north', 'west'] as const;

const STEP_S = 0.25;
const BOOT_S = 10;
const SIMULATED_TYPE: MachineType = {
  ...MACHINE_TYPE,
  zones: [...ZONES],
  bootTime: seconds(BOOT_S),
  fetchGbPerS: 0.5,
};
const SIMULATED_CONFIG: ClusterConfig = { ...CLUSTER_CONFIG, zones: [...ZONES] };

/** What a machine did, recorded by the machine. The history checker uses nothing else. */
export type HistoryEntry =
  | { readonly kind: 'start'; readonly at: number; readonly task: string; readonly machine: string }
  /** A task ended: with its result if `done`, otherwise it was stopped or lost. */
  | {
      readonly kind: 'end';
      readonly at: number;
      readonly task: string;
      readonly machine: string;
      readonly done: boolean;
    }
  /** A command stopped a running task. */
  | { readonly kind: 'stopped'; readonly at: number; readonly task: string; readonly machine: string }
  | {
      readonly kind: 'lease expired' | 'partitioned' | 'healed';
      readonly at: number;
      readonly machine: string;
    }
  | { readonly kind: 'fetch'; readonly at: number; readonly machine: string };

interface SimulatedTask extends ReportedTask {
  readonly imageReadyAt: number;
  readonly endsAt: number;
}

/** A machine and its worker. */
class SimulatedMachine {
  agentEpoch = 1;
  sequence = 0;
  fencingToken = 0;
  reachable = true;
  /** Simulated time of the last answered heartbeat, in seconds. */
  lastRenewedAt: number;
  tasks: SimulatedTask[] = [];
  readonly images = new Set<string>();

  constructor(
    readonly name: string,
    readonly zone: string,
    /** End of the boot, in simulated seconds. The machine runs from this time on. */
    readonly bootedAt: number,
  ) {
    this.lastRenewedAt = bootedAt;
  }

  nextHeartbeat(): Heartbeat {
    this.sequence += 1;
    return {
      ...{
        machineName: this.name,
        endpoint: `${this.name}:1`,
        type: SIMULATED_TYPE.name,
        zone: this.zone,
        spot: false,
      },
      ...{
        agentEpoch: this.agentEpoch,
        sequence: this.sequence,
        fencingToken: this.fencingToken,
        preemptionNotice: null,
      },
      tasks: this.tasks.map(({ jobId, taskIndex, attempt, state, exitReason, checkpointed }) => ({
        jobId,
        taskIndex,
        attempt,
        state,
        exitReason,
        checkpointed,
      })),
    };
  }
}

/** A scheduler, machines in three zones, a state store and a cloud, in simulated time. */
export class ZoneSimulation {
  secondsElapsed = 0;
  readonly history: HistoryEntry[] = [];
  private scheduler: ClusterScheduler;
  private machines: SimulatedMachine[] = [];
  private readonly jobs = new Map<string, { record: JobRecord; modRevision: number }>();
  private readonly pages = new Map<number, { entries: readonly PageEntry[]; modRevision: number }>();
  private readonly messages: { readonly due: number; readonly run: () => void }[] = [];
  private zoneRecord: unknown = null;
  private revision = 100;
  private machineCount = 0;

  constructor(
    machinesPerZone: number,
    private readonly withRecovery: boolean,
    private random: () => number,
  ) {
    this.scheduler = this.startTerm();
    for (const zone of ZONES) for (let n = 0; n < machinesPerZone; n++) this.addMachine(zone, 0);
  }

  /** Starts the term of a new leader, which loads the stored records. */
  startTerm(): ClusterScheduler {
    const startedAt = this.now().monotonic;
    const policy = this.withRecovery ? new ZoneRecovery(SIMULATED_CONFIG) : null;
    this.revision += 1;
    const term = {
      fencingToken: this.revision,
      startedAt,
      confirmedAt: startedAt,
      previousLeadersDeadline: previousLeadersDeadlineFrom(SIMULATED_CONFIG, startedAt),
    };
    this.scheduler = new ClusterScheduler(SIMULATED_CONFIG, DEFAULT_SETTINGS, term, policy);
    this.handleEvent({ kind: 'machine-types', types: [SIMULATED_TYPE] });
    this.handleEvent({ kind: 'instance-inventory', machines: [], requestedAt: startedAt });
    for (const [id, job] of this.jobs) this.handleEvent({ kind: 'job-changed', id, ...job });
    for (const [id, page] of this.pages) this.handleEvent({ kind: 'page-loaded', id, ...page });
    this.handleEvent({ kind: 'load-completed' });
    policy?.restore(this.zoneRecord, this.now());
    return this.scheduler;
  }

  submit(id: string, overrides: Partial<JobSpec>): void {
    const record: JobRecord = { spec: jobSpec(id, overrides), submittedAt: this.now().wall, status: 'open' };
    this.revision += 1;
    this.jobs.set(id, { record, modRevision: this.revision });
    this.handleEvent({ kind: 'job-changed', id, record, modRevision: this.revision });
  }

  /** Partitions all machines of the zone in both directions. */
  partition(zone: string): void {
    for (const machine of this.machinesIn(zone)) this.setReachable(machine, false);
  }

  /** Ends the partition for the first `count` machines of the zone. The others never become reachable again. */
  healPartition(zone: string, count = Infinity): void {
    this.machinesIn(zone).forEach((machine, n) => {
      if (n < count) this.setReachable(machine, true);
    });
  }

  /** Advances the simulated time, and calls `onSecond` every second. */
  run(durationS: number, onSecond: () => void = () => undefined): void {
    const end = this.secondsElapsed + durationS;
    while (this.secondsElapsed < end) {
      this.step();
      if (Number.isInteger(this.secondsElapsed)) onSecond();
    }
  }

  /** Returns the number of running tasks of a job. */
  runningTasks(job: string): number {
    return this.machines.reduce(
      (sum, machine) =>
        sum + machine.tasks.filter((task) => task.jobId === job && task.state === 'running').length,
      0,
    );
  }

  private now(): Timestamp {
    return {
      monotonic: seconds(1000 + this.secondsElapsed),
      wall: new Date(Date.UTC(2030, 0, 1) + this.secondsElapsed * 1000),
    };
  }

  private machinesIn(zone: string): SimulatedMachine[] {
    return this.machines.filter((machine) => machine.zone === zone);
  }

  private addMachine(zone: string, bootedAt: number): string {
    this.machineCount += 1;
    const machine = new SimulatedMachine(`n-${String(this.machineCount).padStart(6, '0')}`, zone, bootedAt);
    this.machines.push(machine);
    return machine.name;
  }

  private setReachable(machine: SimulatedMachine, reachable: boolean): void {
    machine.reachable = reachable;
    this.history.push({
      kind: reachable ? 'healed' : 'partitioned',
      at: this.secondsElapsed,
      machine: machine.name,
    });
  }

  private step(): void {
    this.secondsElapsed = Math.round((this.secondsElapsed + STEP_S) * 100) / 100;
    for (const due of this.messages.filter((message) => message.due <= this.secondsElapsed)) {
      this.messages.splice(this.messages.indexOf(due), 1);
      due.run();
    }
    for (const machine of this.machines)
      if (this.secondsElapsed >= machine.bootedAt) this.stepMachine(machine);
    this.handleEvent({
      kind: 'leadership-confirmed',
      confirmedAt: this.now().monotonic,
      revision: this.revision,
    });
    this.handleEvent({ kind: 'tick' });
    this.commit();
  }

  private stepMachine(machine: SimulatedMachine): void {
    this.advanceTasks(machine);
    if (this.secondsElapsed - machine.lastRenewedAt > toSeconds(SIMULATED_CONFIG.workerLease))
      this.expireLease(machine);
    // Spreads the heartbeats of the machines over the second.
    const due =
      Math.round(this.secondsElapsed / STEP_S + machine.name.charCodeAt(machine.name.length - 1)) % 4 === 0;
    if (!machine.reachable || !due) return;
    const heartbeat = machine.nextHeartbeat();
    this.handleEvent({ kind: 'heartbeat', heartbeat });
    const { fencingToken, commands } = this.scheduler.answerHeartbeat(heartbeat, this.now());
    machine.fencingToken = Math.max(machine.fencingToken, fencingToken);
    machine.lastRenewedAt = this.secondsElapsed;
    this.executeCommands(machine, commands);
  }

  private advanceTasks(machine: SimulatedMachine): void {
    machine.tasks = machine.tasks.map((task): SimulatedTask => {
      if (task.state === 'fetching' && task.imageReadyAt <= this.secondsElapsed) {
        const name = `${task.jobId}/${task.taskIndex}`;
        machine.images.add(this.specOf(task.jobId).image);
        this.history.push({ kind: 'start', at: this.secondsElapsed, task: name, machine: machine.name });
        return { ...task, state: 'running' };
      }
      if (task.state === 'running' && task.endsAt <= this.secondsElapsed) {
        this.recordEnd(machine, task, true);
        return { ...task, state: 'exited', exitReason: 'done' };
      }
      return task;
    });
  }

  private expireLease(machine: SimulatedMachine): void {
    for (const task of machine.tasks) if (task.state === 'running') this.recordEnd(machine, task);
    if (machine.tasks.length > 0)
      this.history.push({ kind: 'lease expired', at: this.secondsElapsed, machine: machine.name });
    machine.tasks = [];
    machine.agentEpoch += 1;
    machine.sequence = 0;
    machine.lastRenewedAt = this.secondsElapsed;
  }

  private recordEnd(machine: SimulatedMachine, task: ReportedTask, done = false): void {
    const name = `${task.jobId}/${task.taskIndex}`;
    this.history.push({ kind: 'end', at: this.secondsElapsed, task: name, machine: machine.name, done });
  }

  private specOf(job: string): JobSpec {
    const known = this.jobs.get(job);
    if (known === undefined) throw new Error(`no job ${job}`);
    return known.record.spec;
  }

  private executeCommands(machine: SimulatedMachine, commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const index = machine.tasks.findIndex(
        (task) =>
          task.jobId === command.jobId &&
          task.taskIndex === command.taskIndex &&
          task.attempt === command.attempt,
      );
      const existing = machine.tasks[index];
      if (command.op === 'start' && existing === undefined) this.startTask(machine, command);
      if (command.op === 'forget' && existing !== undefined) machine.tasks.splice(index, 1);
      if (command.op !== 'stop' || existing === undefined || existing.state === 'exited') continue;
      if (existing.state === 'running') {
        const task = `${command.jobId}/${command.taskIndex}`;
        this.history.push({ kind: 'stopped', at: this.secondsElapsed, task, machine: machine.name });
        this.recordEnd(machine, existing);
      }
      machine.tasks[index] = { ...existing, state: 'exited', exitReason: 'stopped' };
    }
  }

  private startTask(machine: SimulatedMachine, command: WorkerCommand): void {
    const { kind, image, imageGb, estimatedDuration: estimate } = this.specOf(command.jobId);
    const cached = machine.images.has(image);
    if (!cached) this.history.push({ kind: 'fetch', at: this.secondsElapsed, machine: machine.name });
    const imageReadyAt =
      this.secondsElapsed + (cached ? 0 : imageGb / SIMULATED_TYPE.fetchGbPerS) * (0.8 + 0.4 * this.random());
    const durationS = kind === 'service' ? Infinity : toSeconds(estimate) * (0.7 + 0.6 * this.random());
    const { jobId, taskIndex, attempt } = command;
    machine.tasks.push({
      jobId,
      taskIndex,
      attempt,
      state: 'fetching',
      exitReason: null,
      checkpointed: false,
      imageReadyAt,
      endsAt: imageReadyAt + durationS,
    });
  }

  private handleEvent(event: Event): void {
    for (const effect of this.scheduler.handle(event, this.now())) this.applyEffect(effect);
  }

  private applyEffect(effect: Effect): void {
    if (effect.kind === 'persist-zones') this.zoneRecord = JSON.parse(JSON.stringify(effect.record));
    else if (effect.kind === 'scale-in') this.releaseMachines(effect.machineNames);
    else if (effect.kind === 'scale-out') {
      const { zone, count } = effect.request;
      const name = `r-${this.revision}-${this.machineCount}-${zone}-${count}`;
      this.handleEvent({ kind: 'scale-out-started', name, request: effect.request });
      const bootedAt = this.secondsElapsed + BOOT_S;
      const machines = Array.from({ length: count }, () => this.addMachine(zone, bootedAt));
      this.messages.push({
        due: this.secondsElapsed + STEP_S,
        run: () => this.handleEvent({ kind: 'scale-out-answered', name, machines }),
      });
    } else if (effect.kind === 'send-commands')
      this.deliverCommands(effect.machineName, effect.agentEpoch, effect.commands);
  }

  private releaseMachines(names: readonly string[]): void {
    for (const machine of this.machines)
      if (names.includes(machine.name))
        for (const task of machine.tasks) if (task.state === 'running') this.recordEnd(machine, task);
    this.machines = this.machines.filter((machine) => !names.includes(machine.name));
    this.messages.push({
      due: this.secondsElapsed + STEP_S,
      run: () => this.handleEvent({ kind: 'scale-in-answered', machines: names, succeeded: true }),
    });
  }

  private deliverCommands(name: string, agentEpoch: number, commands: readonly WorkerCommand[]): void {
    const fencingToken = this.scheduler.fencingTokenFor(name);
    const calledAt = this.now().monotonic;
    const scheduler = this.scheduler;
    const answer = (outcome: 'executed' | 'refused' | 'unknown', heartbeat: Heartbeat | null): void => {
      if (scheduler === this.scheduler)
        this.handleEvent({
          kind: 'commands-answered',
          machineName: name,
          agentEpoch,
          fencingToken,
          commands,
          calledAt,
          outcome,
          heartbeat,
        });
    };
    const machine = this.machines.find(
      (candidate) => candidate.name === name && this.secondsElapsed >= candidate.bootedAt,
    );
    if (machine === undefined || !machine.reachable) {
      this.messages.push({ due: this.secondsElapsed + 2.5, run: () => answer('unknown', null) });
      return;
    }
    const accepted = fencingToken >= machine.fencingToken && agentEpoch === machine.agentEpoch;
    machine.fencingToken = Math.max(machine.fencingToken, fencingToken);
    if (accepted) this.executeCommands(machine, commands);
    const heartbeat = machine.nextHeartbeat();
    this.messages.push({
      due: this.secondsElapsed + STEP_S,
      run: () => answer(accepted ? 'executed' : 'refused', heartbeat),
    });
  }

  private commit(): void {
    for (;;) {
      const transaction = this.scheduler.nextTransaction(this.now());
      if (transaction === null) return;
      this.revision += 1;
      const modRevision = this.revision;
      for (const page of transaction.pages) this.pages.set(page.id, { entries: page.entries, modRevision });
      for (const id of transaction.completedJobs) {
        const job = this.jobs.get(id);
        if (job !== undefined) this.jobs.set(id, { record: { ...job.record, status: 'done' }, modRevision });
      }
      this.handleEvent({ kind: 'transaction-committed', transaction, modRevision });
    }
  }
}
