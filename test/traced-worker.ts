/**
 * @file What a worker of a trace holds, and what it would do with a late copy of a direct start. It follows the protocol:
 * a copy is executed unless its fencing token or agent epoch is outdated, or the worker still holds the attempt.
 */
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import type { HeartbeatAnswer, WorkerCommand } from '../src/core/model/worker-command.js';

/** A direct start of which copies may arrive. */
interface DirectStart {
  readonly fencingToken: number;
  readonly agentEpoch: number;
}

const keyOf = ({
  jobId,
  taskIndex,
  attempt,
}: Pick<WorkerCommand, 'jobId' | 'taskIndex' | 'attempt'>): string => `${jobId}/${taskIndex}#${attempt}`;

/** A worker as the messages of a trace describe it. */
export class TracedWorker {
  private fencingToken = 0;
  private agentEpoch = 1;
  private heldAttempts = new Set<string>();
  private readonly directStarts = new Map<string, DirectStart>();

  /** Records a heartbeat that the worker made. */
  onHeartbeat({ fencingToken, agentEpoch, tasks }: Heartbeat): void {
    if (agentEpoch < this.agentEpoch) return;
    this.fencingToken = Math.max(this.fencingToken, fencingToken);
    this.agentEpoch = agentEpoch;
    this.heldAttempts = new Set(tasks.map(keyOf));
  }

  /** Records that the worker executed the commands in a response to its heartbeat. */
  onResponse({ fencingToken, commands }: HeartbeatAnswer): void {
    this.execute(fencingToken, commands);
  }

  /** Records that a direct call left the leader: the worker may execute it, once or more, at any later time. */
  onDirectCall(fencingToken: number, agentEpoch: number, commands: readonly WorkerCommand[]): void {
    for (const command of commands)
      if (command.op === 'start') this.directStarts.set(keyOf(command), { fencingToken, agentEpoch });
  }

  /** Records that the worker answered a direct call that it executed. */
  onDirectCallExecuted(commands: readonly WorkerCommand[]): void {
    for (const command of commands)
      this.execute(this.directStarts.get(keyOf(command))?.fencingToken ?? 0, [command]);
  }

  /** True if the worker would start the attempt now if a copy of the direct start arrived. */
  wouldStart(attempt: string, fencingToken = this.directStarts.get(attempt)?.fencingToken): boolean {
    if (fencingToken === undefined) throw new Error(`no direct start of ${attempt}`);
    const agentEpoch = this.directStarts.get(attempt)?.agentEpoch ?? this.agentEpoch;
    return (
      fencingToken >= this.fencingToken && agentEpoch === this.agentEpoch && !this.heldAttempts.has(attempt)
    );
  }

  private execute(fencingToken: number, commands: readonly WorkerCommand[]): void {
    if (fencingToken < this.fencingToken) return;
    this.fencingToken = fencingToken;
    for (const command of commands) {
      if (command.op === 'start') this.heldAttempts.add(keyOf(command));
      if (command.op === 'forget') this.heldAttempts.delete(keyOf(command));
    }
  }
}
