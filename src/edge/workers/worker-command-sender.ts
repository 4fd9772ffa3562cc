import { Subscription } from 'rxjs';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { WORKER_PATHS, encodeCommands, parseHeartbeat } from '../../wire/worker-protocol.js';
import { HttpClient } from '../net/http-client.js';
import { KeyedTaskQueue } from './keyed-task-queue.js';

/** Orders for one worker, to be sent straight to it. */
export interface CommandBatch {
  readonly machineName: string;
  readonly endpoint: string;
  readonly agentEpoch: number;
  readonly commands: readonly WorkerCommand[];
}

/** What became of a direct call. */
export interface CommandResult {
  readonly batch: CommandBatch;
  readonly fencingToken: number;
  readonly outcome: 'executed' | 'refused' | 'unknown';
  readonly heartbeat: Heartbeat | null;
}

const LIMIT_MS = 2500;

/**
 * Commands straight to the workers: one at a time per machine, so that they arrive in the order they were given. Of the
 * connections, those used longest ago are closed beyond `most`: a large fleet would take all our sockets.
 */
export class WorkerCommandSender {
  private readonly calls = new KeyedTaskQueue();
  private stopped = false;
  /** By endpoint, the one used longest ago first. */
  private readonly clients = new Map<string, { readonly client: HttpClient; busy: number }>();
  private busy = 0;
  private readonly waiting: (() => void)[] = [];
  /** Machines with a question, a command without orders, that waits or is under way. */
  private readonly asked = new Set<string>();

  constructor(
    private readonly most: number,
    private readonly token: () => number,
    /** Whether a start may still be sent: asked when a command is sent, which may be long after it was given. */
    private readonly mayStart: (command: WorkerCommand) => boolean,
    private readonly result: (result: CommandResult) => void,
  ) {}

  start(): Subscription {
    const routines = new Subscription();
    routines.add(this.calls.start());
    routines.add(() => {
      this.stopped = true;
    });
    routines.add(() => {
      for (const c of this.clients.values()) c.client.close();
      this.clients.clear();
    });
    return routines;
  }

  push(call: CommandBatch): void {
    // One question at a time: those to a machine that hangs piled up behind one another, and each cost a connection.
    if (call.commands.length === 0) {
      if (this.asked.has(call.machineName)) return;
      this.asked.add(call.machineName);
    }
    this.calls.push(call.machineName, () => this.carryOut(call));
  }

  private async carryOut(call: CommandBatch): Promise<void> {
    const result = await this.send(call);
    if (this.stopped) return;
    if (call.commands.length === 0) this.asked.delete(call.machineName);
    this.result(result);
  }

  private clientOf(endpoint: string): { readonly client: HttpClient; busy: number } {
    const known = this.clients.get(endpoint);
    this.clients.delete(endpoint);
    const entry = known ?? { client: new HttpClient(endpoint, 1), busy: 0 };
    this.clients.set(endpoint, entry);
    for (const [at, c] of this.clients) {
      if (this.clients.size <= this.most) break;
      if (c.busy > 0 || c === entry) continue;
      c.client.close();
      this.clients.delete(at);
    }
    return entry;
  }

  private async send(job: CommandBatch): Promise<CommandResult> {
    // Machines that hang hold a connection each until we give up: questions to them leave room for commands, and are
    // asked again anyway; commands wait their turn.
    if (job.commands.length === 0 && this.busy * 2 >= this.most)
      return { batch: job, fencingToken: this.token(), outcome: 'refused', heartbeat: null };
    if (this.busy >= this.most) await new Promise<void>((go) => this.waiting.push(go));
    this.busy += 1;
    try {
      return await this.call(job);
    } finally {
      this.busy -= 1;
      this.waiting.shift()?.();
    }
  }

  private async call(job: CommandBatch): Promise<CommandResult> {
    const fencingToken = this.token();
    // A command may have waited behind a slow one, or we stood still meanwhile: nothing is started on an old word, nor
    // for a job that was cancelled in the meantime.
    if (job.commands.some((command) => command.op === 'start' && !this.mayStart(command)))
      return { batch: job, fencingToken, outcome: 'refused', heartbeat: null };
    const at = this.clientOf(job.endpoint);
    at.busy += 1;
    const outcome = await at.client.request(
      'POST',
      WORKER_PATHS.commands,
      encodeCommands(fencingToken, job.commands, job.agentEpoch),
      LIMIT_MS,
    );
    at.busy -= 1;
    if (outcome.kind === 'unsent') return { batch: job, fencingToken, outcome: 'refused', heartbeat: null };
    if (outcome.kind === 'unknown') return { batch: job, fencingToken, outcome: 'unknown', heartbeat: null };
    const r = parseHeartbeat(outcome.body);
    const heartbeat = r.ok ? r.value : null;
    if (outcome.status === 200) return { batch: job, fencingToken, outcome: 'executed', heartbeat };
    if (outcome.status === 409 || outcome.status === 400)
      return { batch: job, fencingToken, outcome: 'refused', heartbeat };
    return { batch: job, fencingToken, outcome: 'unknown', heartbeat: null };
  }
}
