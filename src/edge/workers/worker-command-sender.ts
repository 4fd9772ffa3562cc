/**
 * @file Sends commands and probes directly to workers and reports how each was answered. It owns the order of
 * commands per machine; it does not decide which commands are sent, and must never send a start that is not allowed
 * at the moment of sending.
 */
import { Subscription } from 'rxjs';
import type { CommandOutcome } from '../../core/model/events.js';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { MonotonicTime } from '../../core/model/time.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { WORKER_PATHS, encodeCommands, parseHeartbeat } from '../../wire/worker-protocol.js';
import type { RequestOutcome } from '../net/http-connection.js';
import { monotonicNow } from '../runtime/clock.js';
import { KeyedTaskQueue } from './keyed-task-queue.js';
import { WorkerConnectionPool } from './worker-connection-pool.js';

/** Commands for one worker, sent in one request; a request without commands is a probe. */
export interface CommandBatch {
  readonly machineName: string;
  readonly endpoint: string;
  readonly agentEpoch: number;
  readonly commands: readonly WorkerCommand[];
}

/** The result of sending a batch. */
export interface CommandResult {
  readonly batch: CommandBatch;
  readonly fencingToken: number;
  /** When the request was sent, or its sending failed: its response was made after this time. */
  readonly calledAt: MonotonicTime;
  readonly outcome: CommandOutcome;
  /** The heartbeat in the worker's response; null if there was no response, it had none or the outcome is unknown. */
  readonly heartbeat: Heartbeat | null;
}

const REQUEST_TIMEOUT_MS = 2500;

const isProbe = (batch: CommandBatch): boolean => batch.commands.length === 0;

/** What a worker's response says about the commands of a request. */
type WorkerAnswer = Pick<CommandResult, 'outcome' | 'heartbeat'>;

const NOT_EXECUTED: WorkerAnswer = { outcome: 'refused', heartbeat: null };
const UNKNOWN: WorkerAnswer = { outcome: 'unknown', heartbeat: null };

function answerOf(response: RequestOutcome): WorkerAnswer {
  if (response.kind === 'unsent') return NOT_EXECUTED;
  if (response.kind === 'unknown') return UNKNOWN;
  const parsed = parseHeartbeat(response.body);
  const heartbeat = parsed.ok ? parsed.value : null;
  if (response.status === 200) return { outcome: 'executed', heartbeat };
  if (response.status === 409 || response.status === 400) return { outcome: 'refused', heartbeat };
  return UNKNOWN;
}

/**
 * Sends command batches to workers: one at a time per machine, so that they arrive in the order in which they were
 * pushed.
 */
export class WorkerCommandSender {
  private readonly queue = new KeyedTaskQueue();
  private readonly connections: WorkerConnectionPool;
  private readonly termination = new AbortController();
  /** Machines with a probe that is queued or in flight. */
  private readonly pendingProbes = new Set<string>();

  constructor(
    maxConnections: number,
    private readonly fencingTokenFor: (machineName: string) => number,
    /** True if a start may still be sent. Checked when a command is sent, which may be long after it was pushed. */
    private readonly mayStart: (command: WorkerCommand) => boolean,
    private readonly onResult: (result: CommandResult) => void,
  ) {
    this.connections = new WorkerConnectionPool(maxConnections);
  }

  /** Returns the subscription that ends sending and closes the connections. */
  start(): Subscription {
    const routines = new Subscription();
    routines.add(this.queue.start());
    routines.add(() => {
      this.termination.abort();
    });
    routines.add(() => {
      this.connections.close();
    });
    return routines;
  }

  /** Queues a batch to be sent after the earlier batches for the same machine. */
  push(batch: CommandBatch): void {
    // Only one probe per machine is queued or in flight, because probes to an unresponsive machine piled up one
    // behind another, each costing a connection.
    if (isProbe(batch)) {
      if (this.pendingProbes.has(batch.machineName)) return;
      this.pendingProbes.add(batch.machineName);
    }
    this.queue.push(batch.machineName, () => this.sendAndReport(batch));
  }

  private async sendAndReport(batch: CommandBatch): Promise<void> {
    const result = await this.send(batch);
    if (this.termination.signal.aborted) return;
    if (isProbe(batch)) this.pendingProbes.delete(batch.machineName);
    this.onResult(result);
  }

  private async send(batch: CommandBatch): Promise<CommandResult> {
    // Each unresponsive machine holds a connection until the timeout. To leave room for commands, probes are refused
    // while at least half of the slots are in use; they are repeated anyway. Commands wait for a free slot.
    if (isProbe(batch) && this.connections.isHalfFull) return this.notSent(batch);
    return this.connections.withSlot(() => this.request(batch));
  }

  private notSent(batch: CommandBatch): CommandResult {
    const fencingToken = this.fencingTokenFor(batch.machineName);
    return { batch, fencingToken, calledAt: monotonicNow(), ...NOT_EXECUTED };
  }

  private async request(batch: CommandBatch): Promise<CommandResult> {
    // The batch may have waited behind a slow one, or the process may have been paused. No task is started if the
    // leadership was confirmed too long ago, or if its job was cancelled in the meantime.
    if (batch.commands.some((command) => command.op === 'start' && !this.mayStart(command)))
      return this.notSent(batch);
    const fencingToken = this.fencingTokenFor(batch.machineName);
    const calledAt = monotonicNow();
    const response = await this.connections.post(batch.endpoint, {
      path: WORKER_PATHS.commands,
      body: encodeCommands(fencingToken, batch.commands, batch.agentEpoch),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    return { batch, fencingToken, calledAt, ...answerOf(response) };
  }
}
