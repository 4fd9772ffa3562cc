/** @file A worker on loopback, and the history of what all workers ran. */
import type { Agent } from 'node:http';
import { call, listen, type Reply } from './http.js';

interface TaskBody {
  ticket: string;
  try: number;
  standing: 'running' | 'exited';
  cause?: string;
}

interface CommandsBody {
  baton?: number;
  shift?: number;
  orders?: { verb: string; ticket: string; try: number }[];
}

/** What all workers together saw: a task must never run in two places. */
export class TaskHistory {
  readonly running = new Map<string, string>();
  readonly conflicts: string[] = [];
  /** Tasks that were running when a command stopped them. */
  readonly stopped: string[] = [];
  startCount = 0;
  /** When each task started last. */
  readonly startedAt = new Map<string, bigint>();

  recordStart(ticket: string, machine: string): void {
    this.startCount += 1;
    const other = this.running.get(ticket);
    if (other !== undefined) this.conflicts.push(`${ticket} runs on ${other} and ${machine}`);
    this.running.set(ticket, machine);
    this.startedAt.set(ticket, process.hrtime.bigint());
  }
}

/** A worker: reports, keeps the highest token, drops what carries a lower one, and runs tasks for a set time. */
export class WorkerStandIn {
  address = '';
  fencingToken = 0;
  /** Set: a lease of that length, as workers have it; all tasks end with it, and the next session begins. */
  leaseMs: number | null = null;
  /** Its reports arrive; answers and commands to it are lost. */
  inboundLost = false;
  /** Its reports reach nobody; commands to it arrive. */
  outboundLost = false;
  /** When the last report that was answered was sent. */
  lastRenewedAt = process.hrtime.bigint();
  agentEpoch = 1;
  /** Its answers to commands take so long; the commands are carried out at once. */
  responseDelayMs = 0;
  /** How often it reports. */
  heartbeatIntervalMs = 60;
  /** It keeps its connection to a controller, as workers do. */
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
    private readonly taskDurationMs: (ticket: string) => number | null,
  ) {}

  async start(): Promise<void> {
    const s = await listen((_m, url, body) => this.answer(url, body as CommandsBody));
    this.address = s.address;
    this.closeServer = s.close;
    void this.sendHeartbeats();
  }

  stop(): void {
    this.stopped = true;
    for (const t of this.timers) clearTimeout(t);
    this.closeServer();
  }

  /** Tasks that have not ended. */
  get runningTasks(): number {
    return [...this.tasks.values()].filter((h) => h.standing !== 'exited').length;
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
      recallS: null,
      tickets: [...this.tasks.values()].map((h) => ({ ...h })),
    };
  }

  private async sendHeartbeats(): Promise<void> {
    for (let at = 0; !this.stopped;) {
      const addr = this.controllers[at % this.controllers.length] ?? '';
      const sent = process.hrtime.bigint();
      const session = this.agentEpoch;
      const r = this.outboundLost
        ? null
        : await call(addr, 'POST', '/hello', this.heartbeatBody(), this.agent).catch(() => null);
      if (r?.status !== 200 || this.inboundLost) at += 1;
      else if (session === this.agentEpoch && this.applyCommands(r.body)) this.lastRenewedAt = sent;
      this.expireLease();
      await new Promise<void>((done) => this.timers.add(setTimeout(done, this.heartbeatIntervalMs)));
    }
  }

  private expireLease(): void {
    if (this.leaseMs === null) return;
    if (process.hrtime.bigint() - this.lastRenewedAt < BigInt(this.leaseMs) * 1_000_000n) return;
    for (const h of this.tasks.values()) this.endTask(h, 'lease');
    this.tasks.clear();
    this.agentEpoch += 1;
    this.sequence = 0;
    this.lastRenewedAt = process.hrtime.bigint();
  }

  private answer(url: URL, body: CommandsBody): Reply | Promise<Reply> {
    if (this.inboundLost) return new Promise(() => undefined);
    if (url.pathname === '/status') return { status: 200, body: this.heartbeatBody() };
    if (body.baton === undefined || body.shift === undefined) return { status: 400, body: {} };
    const ok = body.shift === this.agentEpoch && body.baton >= this.fencingToken;
    if (ok) this.applyCommands(body);
    const reply = { status: ok ? 200 : 409, body: this.heartbeatBody() };
    if (this.responseDelayMs === 0) return reply;
    return new Promise((done) => this.timers.add(setTimeout(() => done(reply), this.responseDelayMs)));
  }

  private applyCommands(o: CommandsBody): boolean {
    if (o.baton === undefined || o.baton < this.fencingToken) return false;
    this.fencingToken = o.baton;
    for (const c of o.orders ?? []) {
      const key = `${c.ticket}#${c.try}`;
      const held = this.tasks.get(key);
      if (c.verb === 'run' && held === undefined) this.startTask(c.ticket, c.try, key);
      if (c.verb === 'halt' && held?.standing === 'running') {
        this.history.stopped.push(held.ticket);
        this.endTask(held, 'stopped');
      }
      if (c.verb === 'forget' && held?.standing === 'exited') this.tasks.delete(key);
    }
    return true;
  }

  private startTask(ticket: string, attempt: number, key: string): void {
    const held: TaskBody = { ticket, try: attempt, standing: 'running' };
    this.tasks.set(key, held);
    this.history.recordStart(ticket, this.name);
    const ms = this.taskDurationMs(ticket);
    if (ms !== null) this.timers.add(setTimeout(() => this.endTask(held, 'done'), ms));
  }

  private endTask(held: TaskBody, cause: string): void {
    if (held.standing === 'exited') return;
    held.standing = 'exited';
    held.cause = cause;
    this.history.running.delete(held.ticket);
  }
}
