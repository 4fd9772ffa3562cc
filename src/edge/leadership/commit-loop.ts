/**
 * @file The loop that commits the leader's transactions to the state store, one at a time. It owns the transaction in
 * flight: it retries that transaction until its result is available, and must never start another one before then.
 */
import type { Subscription } from 'rxjs';
import { operationCount, type Transaction } from '../../core/model/transaction.js';
import { currentTime } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import { WakeSignal } from '../runtime/wake-signal.js';
import type { CommitResult } from '../state-store/state-store-client.js';
import { resolveConflict } from './conflict-resolution.js';
import { FencingTokenAdvancer } from './fencing-token-advancer.js';
import type { LeaderKey } from './leader-key.js';
import type { TermContext } from './term-context.js';
import { encodeConditions, encodeWrites } from './transaction-encoding.js';
import { WriteBudget } from './write-budget.js';

/**
 * The loop polls the core at this interval, because the core batches changes for a while and no event marks the end
 * of a batch.
 */
const IDLE_INTERVAL_MS = 500;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1500;
const CONFLICT_SYNC_TIMEOUT_MS = 2000;

/** The reason with which the state store client reports a refusal for too many requests or writes. */
const RATE_LIMITED = 'status 429';

type Conflict = Extract<CommitResult, { kind: 'conflict' }>;

/** Commits the core's transactions within the leader's share of the state store's write rate. */
export class CommitLoop {
  private readonly wakeSignal = new WakeSignal();
  private readonly budget: WriteBudget;
  private readonly tokenAdvancer: FencingTokenAdvancer;

  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {
    const { config, maxWritesPerSecond } = term.dependencies;
    this.budget = new WriteBudget(maxWritesPerSecond, config.maxTransactionOperations);
    this.tokenAdvancer = new FencingTokenAdvancer(term, key);
  }

  /** Runs until unsubscribed. */
  start(): Subscription {
    const routines = supervise('commit loop', this.term.dependencies.logger, (signal) => this.run(signal));
    routines.add(this.budget.start());
    return routines;
  }

  /** Wakes the loop because there may be something to commit. */
  wake(): void {
    this.wakeSignal.wake();
  }

  /** Requests an advance of the fencing token before the next transaction. */
  requestTokenAdvance(reason: string): void {
    this.tokenAdvancer.request(reason);
    this.wake();
  }

  /** Records that a user's submission or cancellation was observed: such writes take precedence over the leader's. */
  recordUserWrite(): void {
    this.budget.recordUserWrite();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.wakeSignal.wait(IDLE_INTERVAL_MS, signal);
      if (isAborted(signal)) return;
      await this.tokenAdvancer.advanceIfRequested(signal);
      const transaction = this.term.scheduler.nextTransaction(currentTime());
      if (transaction === null) continue;
      const waitMs = this.budget.take(operationCount(transaction));
      if (waitMs > 0) await sleep(waitMs, signal);
      if (isAborted(signal)) return;
      await this.commit(transaction, signal);
      this.wake();
    }
  }

  /** Sends a transaction and retries it until its result is available. Its compare conditions make it idempotent. */
  private async commit(transaction: Transaction, signal: AbortSignal): Promise<void> {
    const { stateStore, logger, partition, config } = this.term.dependencies;
    const leaderCondition = this.key.condition(transaction.fencingToken);
    const conditions = encodeConditions(transaction, leaderCondition, partition);
    const writes = encodeWrites(transaction, this.term.scheduler.state.jobs, partition, config);
    let earlierOutcomeUnknown = false;
    for (let retries = 0; !signal.aborted; retries++) {
      const result = await stateStore.commit(conditions, writes);
      if (isAborted(signal)) return;
      if (result.kind === 'committed') return this.onCommitted(transaction, result.revision);
      if (result.kind === 'conflict')
        return this.onConflict(transaction, result, earlierOutcomeUnknown, signal);
      if (result.kind === 'unknown') earlierOutcomeUnknown = true;
      else this.onRefused(result.reason);
      logger.debug({ reason: result.reason, retries }, 'transaction retry');
      const delayMs = Math.min(FIRST_RETRY_DELAY_MS * 2 ** retries, MAX_RETRY_DELAY_MS);
      await sleep(jittered(delayMs), signal);
    }
  }

  private onCommitted(transaction: Transaction, modRevision: number): void {
    this.term.dispatch({ kind: 'transaction-committed', transaction, modRevision });
  }

  /**
   * After a refusal for too many requests or writes, lowers the write limit to the announced one, if that one is
   * lower.
   */
  private onRefused(reason: string): void {
    if (reason === RATE_LIMITED)
      this.budget.lowerMaxWrites(this.term.dependencies.announcedMaxWritesPerSecond);
  }

  private async onConflict(
    transaction: Transaction,
    { failedKeys, revision }: Conflict,
    earlierOutcomeUnknown: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { stateStore, logger, partition } = this.term.dependencies;
    // A conflict can be resolved only against a replica that has reached the conflict's revision. An older replica
    // still shows the mod revisions that the transaction was conditioned on. If those were taken for the result of
    // the transaction, every later write of the page would fail.
    while (!(await stateStore.waitForRevision(revision, CONFLICT_SYNC_TIMEOUT_MS)))
      if (isAborted(signal)) return;
    if (await this.key.endTermIfLost()) return;
    const conflict = { transaction, failedKeys, earlierOutcomeUnknown };
    const resolution = resolveConflict(conflict, stateStore, partition);
    switch (resolution.kind) {
      case 'already-committed':
        return this.onCommitted(transaction, resolution.modRevision);
      case 'foreign-page-write':
        return this.term.end({ kind: 'foreign-page-write' });
      case 'rejected':
        logger.info({ failedKeys }, 'transaction rejected by compare conditions');
    }
  }
}
