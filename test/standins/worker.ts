/** @file A worker on loopback, and the history of the tasks that all workers ran. */
import type { Agent } from 'node:http';
import { call, listen, type Reply } from './http.js';

/** A task in a heartbeat, with the field names of the protocol. */
interface TaskBody {
  readonly ticket: string;
  readonly try: number;
  standing: 'running' | 'exited';
  cause?: string;
}

/** Commands of a controller, with the field names of the protocol. */
export interface CommandsBody {
  readonly baton?: number;
  readonly shift?: number;
  readonly orders?: readonly { verb: string; ticket: string; try: number }[];
}

/** It drops a response that comes later than this after its heartbeat was sent. */
const RESPONSE_TIMEOUT_NS = 4_000_000_000n;

/** The tasks that all workers ran, by which tests detect a task that runs on two workers at once. */
export class TaskHistory {
  /** The machine of each running task. */
  readonly running = new Map<string, string>();
  /** One line for each start of a task that was already running, on the same or another machine. Must stay empty. */
  readonly conflicts: string[] = [];
  /** Tasks that were running when a command stopped them. */
  readonly stopped: string[] = [];
  startCount = 0;
  /** The time of each task's latest start. */
  readonly startedAt = new Map<string, bigint>();
  /** Called after each start. */
  onStart: (task: string) => void = () => undefined;

  /** Records a start, and a conflict if the task is running already. */
  recordStart(task: string, machine: string): void {
    this.startCount += 1;
    const other = this.running.get(task);
    if (other !== undefined) this.conflicts.push(`${task} runs on ${other} and ${machine}`);
    this.running.set(task, machine);
    this.startedAt.set(task, process.hrtime.bigint());
    this.onStart(task);
  }
}

/** A worker: sends heartbeats, refuses commands with a lower fencing token, and runs tasks for a set time. */
export class WorkerStandIn {
  address = '';
  /** The highest fencing token that it has received. */
  fencingToken = 0;
  /** Duration of its worker lease, or null for none. When it expires, all tasks end and the next agent epoch begins. */
  leaseMs: number | null = null;
  /** If true, its heartbeats arrive, but responses and commands to it are lost. */
  inboundLost = false;
  /** If true, its heartbeats are lost, but commands to it arrive. */
  outboundLost = false;
  /** When the latest answered heartbeat was sent. */
  lastRenewedAt = process.hrtime.bigint();
  agentEpoch = 1;
  /** Delay of its responses to commands; the commands themselves are executed at once. */
  responseDelayMs = 0;
  heartbeatIntervalMs = 60;
  /** Seconds until the cloud takes the machine back, as reported in heartbeats, or null without a notice. */
  preemptionNoticeS: number | null = null;
  /** Called with each response to a heartbeat; the worker receives it once the returned promise is fulfilled. */
  holdResponse: (response: CommandsBody) => Promise<void> | null = () => null;
  /** Number of its heartbeats that a controller answered. */
  answeredHeartbeats = 0;
  /** Number of stop commands that it received in direct calls. */
  directStops = 0;
  /** The direct calls that it executed and answered, from which tests send copies later. */
  readonly answeredCalls: CommandsBody[] = [];
  /** Called with each direct call that it executed and answered. */
  onAnsweredCall: (call: CommandsBody) => void = () => undefined;
  /** If set, keeps its connection to a controller open, as real workers do. */
  agent: Agent | false = false;
  private sequence = 0;
  private readonly tasks = new Map<string, TaskBody>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private closeServer: () => void = () => undefined;
  private stopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly controllers: readonly string[],
    private readonly history: TaskHistory,
    /** Returns how long a task runs in milliseconds, or null if it runs until it is stopped. */
    private readonly taskDurationMs: (task: string) => number | null,
  ) {}

  /** Listens for commands, and sends heartbeats until `stop`. */
  async start(): Promise<void> {
    const server = await listen((_method, url, body) => this.answer(url, body as CommandsBody));
    this.address = server.address;
    this.closeServer = server.close;
    void this.sendHeartbeats();
  }

  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.closeServer();
  }

  /** Number of tasks that have not ended. */
  get runningTasks(): number {
    return [...this.tasks.values()].filter((task) => task.standing !== 'exited').length;
  }

  /** Number of attempts that it has not forgotten. */
  get heldAttempts(): number {
    return this.tasks.size;
  }

  /** Receives a copy of a direct call; nobody waits for the answer. Returns false if it refuses the copy. */
  receiveCopy(copy: CommandsBody): boolean {
    if (this.stopped || copy.shift !== this.agentEpoch) return false;
    return this.applyCommands(copy);
  }

  private heartbeatBody(): unknown {
    this.sequence += 1;
    return {
      rig: this.name,
      endpoint: this.address,
      build: 'big',
      hall: this.zone,
      loaners: false,
      shift: this.agentEpoch,
      tick: this.sequence,
      baton: this.fencingToken,
      recallS: this.preemptionNoticeS,
      tickets: [...this.tasks.values()].map((task) => ({ ...task })),
    };
  }

  /** Sends heartbeats to one controller for as long as it answers, then to the next one. */
  private async sendHeartbeats(): Promise<void> {
    for (let turn = 0; !this.stopped;) {
      const controller = this.controllers[turn % this.controllers.length] ?? '';
      const sentAt = process.hrtime.bigint();
      const agentEpoch = this.agentEpoch;
      const response = this.outboundLost
        ? null
        : await call(controller, 'POST', '/hello', this.heartbeatBody(), this.agent).catch(() => null);
      if (response?.status !== 200 || this.inboundLost) turn += 1;
      else {
        await this.holdResponse(response.body);
        this.receiveResponse(response.body, agentEpoch, sentAt);
        this.answeredHeartbeats += 1;
      }
      this.expireLease();
      await new Promise<void>((done) => this.timers.add(setTimeout(done, this.heartbeatIntervalMs)));
    }
  }

  private receiveResponse(response: CommandsBody, agentEpoch: number, sentAt: bigint): void {
    const isLate = process.hrtime.bigint() - sentAt > RESPONSE_TIMEOUT_NS;
    if (isLate || agentEpoch !== this.agentEpoch) return;
    if (this.applyCommands(response)) this.lastRenewedAt = sentAt;
  }

  private expireLease(): void {
    if (this.leaseMs === null) return;
    if (process.hrtime.bigint() - this.lastRenewedAt < BigInt(this.leaseMs) * 1_000_000n) return;
    for (const task of this.tasks.values()) this.endTask(task, 'lease');
    this.tasks.clear();
    this.agentEpoch += 1;
    this.sequence = 0;
    this.lastRenewedAt = process.hrtime.bigint();
  }

  private answer(url: URL, body: CommandsBody): Reply | Promise<Reply> {
    if (this.inboundLost) return new Promise(() => undefined);
    if (url.pathname === '/status') return { status: 200, body: this.heartbeatBody() };
    if (body.baton === undefined || body.shift === undefined) return { status: 400, body: {} };
    const accepted = body.shift === this.agentEpoch && body.baton >= this.fencingToken;
    if (accepted) this.applyCommands(body);
    if (accepted) this.recordAnsweredCall(body);
    this.directStops += (body.orders ?? []).filter(({ verb }) => verb === 'halt').length;
    const reply = { status: accepted ? 200 : 409, body: this.heartbeatBody() };
    if (this.responseDelayMs === 0) return reply;
    return new Promise((done) => this.timers.add(setTimeout(() => done(reply), this.responseDelayMs)));
  }

  private recordAnsweredCall(call: CommandsBody): void {
    if (call.orders === undefined || call.orders.length === 0) return;
    this.answeredCalls.push(call);
    this.onAnsweredCall(call);
  }

  /** Applies commands; returns false and applies none if the fencing token is missing or outdated. */
  private applyCommands({ baton, orders }: CommandsBody): boolean {
    if (baton === undefined || baton < this.fencingToken) return false;
    this.fencingToken = baton;
    for (const { verb, ticket, try: attempt } of orders ?? []) {
      const key = `${ticket}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === 'run' && task === undefined) this.startTask(ticket, attempt, key);
      if (verb === 'halt' && task?.standing === 'running') {
        this.history.stopped.push(task.ticket);
        this.endTask(task, 'stopped');
      }
      if (verb === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
    }
    return true;
  }

  private startTask(ticket: string, attempt: number, key: string): void {
    const task: TaskBody = { ticket, try: attempt, standing: 'running' };
    this.tasks.set(key, task);
    this.history.recordStart(ticket, this.name);
    const durationMs = this.taskDurationMs(ticket);
    if (durationMs !== null) this.timers.add(setTimeout(() => this.endTask(task, 'done'), durationMs));
  }

  private endTask(task: TaskBody, cause: string): void {
    if (task.standing === 'exited') return;
    task.standing = 'exited';
    task.cause = cause;
    this.history.running.delete(task.ticket);
  }
}
