/**
 * @file Advances the fencing token within a term at the request of the core. It owns the pending request; it runs
 * inside the commit loop, so that no transaction is in flight under the token that is replaced.
 */
import { isAborted } from '../runtime/supervised-task.js';
import type { LeaderKey } from './leader-key.js';
import type { TermContext } from './term-context.js';

/** Advances the fencing token by writing the leader key again. */
export class FencingTokenAdvancer {
  private requestReason: string | null = null;

  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {}

  /** Requests an advance of the token before the next transaction. */
  request(reason: string): void {
    this.requestReason = reason;
  }

  /** Makes one attempt if an advance was requested; if the attempt fails, the core requests another advance. */
  async advanceIfRequested(signal: AbortSignal): Promise<void> {
    if (this.requestReason === null) return;
    const { logger, stateStore } = this.term.dependencies;
    const reason = this.requestReason;
    logger.info({ reason }, 'fencing token advance started');
    this.requestReason = null;
    const result = await stateStore.commit([this.key.condition()], [this.key.rewrite()]);
    if (isAborted(signal)) return;
    if (result.kind === 'committed') {
      logger.info({ reason, fencingToken: result.revision }, 'fencing token advanced');
      this.term.dispatch({ kind: 'token-advanced', fencingToken: result.revision });
    } else if (result.kind === 'conflict') await this.key.endTermIfLost();
  }
}
