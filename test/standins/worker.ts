import type { Agent } from 'node:http';
import { call, listen, type Reply } from './http.js';

interface Held {
  ticket: string;
  try: number;
  standing: 'running' | 'exited';
  cause?: string;
}

interface Orders {
  baton?: number;
  shift?: number;
  orders?: { verb: string; ticket: string; try: number }[];
}

/** What all workers together saw: a task must never run in two places. */
export class Watch {
  readonly running = new Map<string, string>();
  readonly broken: string[] = [];
  /** Tasks that were running when a command stopped them. */
  readonly stopped: string[] = [];
  starts = 0;
  /** When each task started last. */
  readonly startedAt = new Map<string, bigint>();

  start(ticket: string, machine: string): void {
    this.starts += 1;
    const other = this.running.get(ticket);
    if (other !== undefined) this.broken.push(`${ticket} runs on ${other} and ${machine}`);
    this.running.set(ticket, machine);
    this.startedAt.set(ticket, process.hrtime.bigint());
  }
}

/** A worker: reports, keeps the highest token, drops what carries a lower one, and runs tasks for a set time. */
export class WorkerStandIn {
  addr = '';
  token = 0;
  /** Set: a lease of that length, as workers have it; all tasks end with it, and the next session begins. */
  leaseMs: number | null = null;
  /** Its reports arrive; answers and commands to it are lost. */
  deaf = false;
  /** Its reports reach nobody; commands to it arrive. */
  mute = false;
  /** When the last report that was answered was sent. */
  renewed = process.hrtime.bigint();
  session = 1;
  /** Its answers to commands take so long; the commands are carried out at once. */
  slowMs = 0;
  /** How often it reports. */
  everyMs = 60;
  /** It keeps its connection to a controller, as workers do. */
  agent: Agent | false = false;
  private tick = 0;
  private readonly held = new Map<string, Held>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private shut: () => void = () => undefined;
  private stopped = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly controllers: readonly string[],
    private readonly watch: Watch,
    private readonly runMs: (ticket: string) => number | null,
  ) {}

  async start(): Promise<void> {
    const s = await listen((_m, url, body) => this.answer(url, body as Orders));
    this.addr = s.addr;
    this.shut = s.close;
    void this.report();
  }

  stop(): void {
    this.stopped = true;
    for (const t of this.timers) clearTimeout(t);
    this.shut();
  }

  /** Tasks that have not ended. */
  get busy(): number {
    return [...this.held.values()].filter((h) => h.standing !== 'exited').length;
  }

  private body(): unknown {
    this.tick += 1;
    return {
      rig: this.name,
      endpoint: this.addr,
      build: 'big',
      hall: this.zone,
      loaners: false,
      shift: this.session,
      tick: this.tick,
      baton: this.token,
      recallS: null,
      tickets: [...this.held.values()].map((h) => ({ ...h })),
    };
  }

  private async report(): Promise<void> {
    for (let at = 0; !this.stopped;) {
      const addr = this.controllers[at % this.controllers.length] ?? '';
      const sent = process.hrtime.bigint();
      const session = this.session;
      const r = this.mute
        ? null
        : await call(addr, 'POST', '/hello', this.body(), this.agent).catch(() => null);
      if (r?.status !== 200 || this.deaf) at += 1;
      else if (session === this.session && this.take(r.body)) this.renewed = sent;
      this.endLease();
      await new Promise<void>((done) => this.timers.add(setTimeout(done, this.everyMs)));
    }
  }

  private endLease(): void {
    if (this.leaseMs === null) return;
    if (process.hrtime.bigint() - this.renewed < BigInt(this.leaseMs) * 1_000_000n) return;
    for (const h of this.held.values()) this.exit(h, 'lease');
    this.held.clear();
    this.session += 1;
    this.tick = 0;
    this.renewed = process.hrtime.bigint();
  }

  private answer(url: URL, body: Orders): Reply | Promise<Reply> {
    if (this.deaf) return new Promise(() => undefined);
    if (url.pathname === '/status') return { status: 200, body: this.body() };
    if (body.baton === undefined || body.shift === undefined) return { status: 400, body: {} };
    const ok = body.shift === this.session && body.baton >= this.token;
    if (ok) this.take(body);
    const reply = { status: ok ? 200 : 409, body: this.body() };
    if (this.slowMs === 0) return reply;
    return new Promise((done) => this.timers.add(setTimeout(() => done(reply), this.slowMs)));
  }

  private take(o: Orders): boolean {
    if (o.baton === undefined || o.baton < this.token) return false;
    this.token = o.baton;
    for (const c of o.orders ?? []) {
      const key = `${c.ticket}#${c.try}`;
      const held = this.held.get(key);
      if (c.verb === 'run' && held === undefined) this.run(c.ticket, c.try, key);
      if (c.verb === 'halt' && held?.standing === 'running') {
        this.watch.stopped.push(held.ticket);
        this.exit(held, 'stopped');
      }
      if (c.verb === 'forget' && held?.standing === 'exited') this.held.delete(key);
    }
    return true;
  }

  private run(ticket: string, attempt: number, key: string): void {
    const held: Held = { ticket, try: attempt, standing: 'running' };
    this.held.set(key, held);
    this.watch.start(ticket, this.name);
    const ms = this.runMs(ticket);
    if (ms !== null) this.timers.add(setTimeout(() => this.exit(held, 'done'), ms));
  }

  private exit(held: Held, cause: string): void {
    if (held.standing === 'exited') return;
    held.standing = 'exited';
    held.cause = cause;
    this.watch.running.delete(held.ticket);
  }
}
