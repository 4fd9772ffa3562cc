/**
 * @file Sends commands and probes straight to workers and reports how each was answered. It owns the order of commands
 * per machine; it decides nothing about which commands there are, and must never send a start that is not allowed at
 * the moment of sending.
 */
import { Subscription } from 'rxjs';
import type { CommandOutcome } from '../../core/model/events.js';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { WORKER_PATHS, encodeCommands, parseHeartbeat } from '../../wire/worker-protocol.js';
import type { Outcome } from '../net/http-connection.js';
import { KeyedTaskQueue } from './keyed-task-queue.js';
import { WorkerConnectionPool } from './worker-connection-pool.js';

/** Commands for one worker, sent in one request; without commands the request is a probe. */
export interface CommandBatch {
  readonly machineName: string;
  readonly endpoint: string;
  readonly agentEpoch: number;
  readonly commands: readonly WorkerCommand[];
}

/** How a batch was answered. */
export interface CommandResult {
  readonly batch: CommandBatch;
  readonly fencingToken: number;
  readonly outcome: CommandOutcome;
  /** The heartbeat in the worker's response, if there was one. */
  readonly heartbeat: Heartbeat | null;
}

const REQUEST_TIMEOUT_MS = 2500;

const isProbe = (batch: CommandBatch): boolean => batch.commands.length === 0;

/** Reads a worker's response. */
function resultOf(batch: CommandBatch, fencingToken: number, response: Outcome): CommandResult {
  if (response.kind === 'unsent') return { batch, fencingToken, outcome: 'refused', heartbeat: null };
  if (response.kind === 'unknown') return { batch, fencingToken, outcome: 'unknown', heartbeat: null };
  const parsed = parseHeartbeat(response.body);
  const heartbeat = parsed.ok ? parsed.value : null;
  if (response.status === 200) return { batch, fencingToken, outcome: 'executed', heartbeat };
  if (response.status === 409 || response.status === 400)
    return { batch, fencingToken, outcome: 'refused', heartbeat };
  return { batch, fencingToken, outcome: 'unknown', heartbeat: null };
}

/** Sends command batches to workers: one at a time per machine, so that they arrive in the order they were pushed. */
export class WorkerCommandSender {
  private readonly queue = new KeyedTaskQueue();
  private readonly connections: WorkerConnectionPool;
  private readonly termination = new AbortController();
  /** Machines with a probe that waits or is in flight. */
  private readonly pendingProbes = new Set<string>();

  constructor(
    maxConnections: number,
    private readonly currentFencingToken: () => number,
    /** Whether a start may still be sent: checked when a command is sent, which may be long after it was pushed. */
    private readonly mayStart: (command: WorkerCommand) => boolean,
    private readonly onResult: (result: CommandResult) => void,
  ) {
    this.connections = new WorkerConnectionPool(maxConnections);
  }

  /** Sending ends with the returned subscription, and its connections are closed. */
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

  /** Sends a batch after the earlier ones to the same machine. */
  push(batch: CommandBatch): void {
    // One probe per machine: those to an unresponsive machine piled up behind one another, each costing a connection.
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
    // Unresponsive machines hold a connection each until the timeout: probes to them leave room for commands, and are
    // repeated anyway; commands wait for a free slot.
    if (isProbe(batch) && this.connections.isHalfFull)
      return { batch, fencingToken: this.currentFencingToken(), outcome: 'refused', heartbeat: null };
    return this.connections.withSlot(() => this.request(batch));
  }

  private async request(batch: CommandBatch): Promise<CommandResult> {
    const fencingToken = this.currentFencingToken();
    // The batch may have waited behind a slow one, or the process stood still meanwhile: nothing is started on a
    // leadership confirmed too long ago, nor for a job that was cancelled in the meantime.
    if (batch.commands.some((command) => command.op === 'start' && !this.mayStart(command)))
      return { batch, fencingToken, outcome: 'refused', heartbeat: null };
    const response = await this.connections.post(batch.endpoint, {
      path: WORKER_PATHS.commands,
      body: encodeCommands(fencingToken, batch.commands, batch.agentEpoch),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    return resultOf(batch, fencingToken, response);
  }
}
