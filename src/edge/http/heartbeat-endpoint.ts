/**
 * @file Determines the response to a heartbeat, regardless of how it was received: the leader's commands, or a redirect
 * to the leader. An error while one heartbeat is processed must not end the process.
 */
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { HeartbeatAnswer, WorkerCommand } from '../../core/model/worker-command.js';
import { decode, encode } from '../../wire/cbor.js';
import { encodeCommands, encodeRedirect, parseHeartbeat } from '../../wire/worker-protocol.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { errorMessage } from '../runtime/supervised-task.js';
import type { HeartbeatResponse } from './heartbeat-response.js';

/** The dependencies of the endpoint: the log, the state of the leadership and the processing of heartbeats. */
export interface HeartbeatEndpointDependencies {
  readonly logger: Logger;
  readonly isLeader: () => boolean;
  /** Processes a heartbeat. Returns null if this controller is not the leader or may no longer answer. */
  readonly onHeartbeat: (heartbeat: Heartbeat) => HeartbeatAnswer | null;
  /** Returns the label of another controller that is the leader, or null if none is known. */
  readonly leaderLabel: () => string | null;
}

/** Decodes the bodies of heartbeats and returns the responses. */
export class HeartbeatEndpoint {
  /** Most responses carry no commands and differ only in the fencing token, so their body is encoded once per token. */
  private responseWithoutCommands: { readonly fencingToken: number; readonly body: Buffer } | null = null;

  constructor(private readonly dependencies: HeartbeatEndpointDependencies) {}

  respond(raw: Buffer): HeartbeatResponse {
    // Only the leader parses heartbeats, because after a failover the other controllers redirect hundreds of workers
    // within seconds.
    if (!this.dependencies.isLeader()) return this.redirect();
    let body: unknown;
    try {
      body = decode(raw);
    } catch {
      return this.malformed('not CBOR');
    }
    const parsed = parseHeartbeat(body);
    return parsed.ok ? this.processHeartbeat(parsed.value) : this.malformed(parsed.reason);
  }

  private processHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    try {
      const answer = this.dependencies.onHeartbeat(heartbeat);
      if (answer === null) return this.redirect();
      return { status: 200, body: this.encodeAnswer(answer.fencingToken, answer.commands) };
    } catch (error) {
      // After this response the worker tries the next controller.
      const fields = { error: errorMessage(error) };
      warnRateLimited(this.dependencies.logger, fields, 'heartbeat processing failed');
      return { status: 503, body: encode({ error: 'internal trouble' }) };
    }
  }

  private redirect(): HeartbeatResponse {
    return { status: 421, body: encode(encodeRedirect(this.dependencies.leaderLabel())) };
  }

  private malformed(reason: string): HeartbeatResponse {
    warnRateLimited(this.dependencies.logger, { reason }, 'malformed heartbeat');
    return { status: 400, body: encode({ error: reason }) };
  }

  private encodeAnswer(fencingToken: number, commands: readonly WorkerCommand[]): Buffer {
    if (commands.length > 0) return encode(encodeCommands(fencingToken, commands));
    if (this.responseWithoutCommands?.fencingToken !== fencingToken)
      this.responseWithoutCommands = { fencingToken, body: encode(encodeCommands(fencingToken, [])) };
    return this.responseWithoutCommands.body;
  }
}
