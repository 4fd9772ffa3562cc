import { interval, type Subscription } from 'rxjs';
import type { JobStatus } from '../../core/model/job.js';
import { operationCount, type Transaction } from '../../core/persistence/transactions.js';
import { jobKey, pageKey, leaderKey } from '../../wire/keys.js';
import { jobSummaryOf } from '../../wire/finished-job-summary.js';
import { encodeJob } from '../../wire/job-record.js';
import { encodePage } from '../../wire/page-record.js';
import { currentTime } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import type { LeaderKey } from './leader-key.js';
import { RateLimiter } from '../runtime/rate-limiter.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { TermContext } from './term-context.js';
import { WakeSignal } from '../runtime/wake-signal.js';

/**
 * The owner's share of the changes that the state service takes. Users' submissions and cancellations go first: what
 * they were seen to take is left free, but never so much that nothing is placed any more.
 */
const MOST_SHARE = 0.8;
const LEAST_SHARE = 0.5;
const ALL_SHARE = 0.95;

/** How the state service says that there were too many requests or changes. */
const TOO_MANY = 'status 429';

/** Carries the owner's transactions to the state service, one at a time, within its share of the changes. */
export class CommitLoop {
  private readonly wakeSignal = new WakeSignal();
  private readonly budget: RateLimiter;
  /** Changes a second that the state service takes: fewer once it has said so. */
  private writeRps: number;
  private usersChanges = 0;
  private usersRate = 0;
  private raise: string | null = null;

  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {
    const { config, maxWritesPerSecond: writeRps } = term.dependencies;
    this.writeRps = writeRps;
    this.budget = new RateLimiter(
      writeRps * MOST_SHARE,
      Math.max(config.maxTransactionOperations, writeRps * 0.5),
    );
  }

  /** Runs until unsubscribed. */
  start(): Subscription {
    const routines = supervise('commits', this.term.dependencies.logger, (signal) => this.commits(signal));
    routines.add(interval(1000).subscribe(() => this.share()));
    return routines;
  }

  /** There may be something to commit. */
  wake(): void {
    this.wakeSignal.wake();
  }

  /** Has the token raised before the next transaction. */
  requestTokenAdvance(reason: string): void {
    this.raise = reason;
    this.wake();
  }

  /** A submission or cancellation of a user's was seen: such changes go first. */
  recordUserWrite(): void {
    this.usersChanges += 1;
  }

  /** Sets what the owner may write by what users' changes took lately. */
  private share(): void {
    this.usersRate = this.usersRate * 0.5 + this.usersChanges * 0.5;
    this.usersChanges = 0;
    const all = this.writeRps;
    const left = all * ALL_SHARE - this.usersRate * 1.25;
    this.budget.perSecond = Math.min(all * MOST_SHARE, Math.max(all * LEAST_SHARE, left));
  }

  private async commits(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.wakeSignal.wait(500, signal);
      if (isAborted(signal)) return;
      if (this.raise !== null) await this.raiseToken(signal);
      const transaction = this.term.scheduler.nextTransaction(currentTime());
      if (transaction === null) continue;
      const wait = this.budget.take(operationCount(transaction));
      if (wait > 0) await sleep(wait, signal);
      if (isAborted(signal)) return;
      await this.commit(transaction, signal);
      this.wake();
    }
  }

  /** More changes than it takes: from now on it takes what was announced, if that is less. */
  private heedRefusal(reason: string): void {
    const next = this.term.dependencies.announcedMaxWritesPerSecond;
    if (reason !== TOO_MANY || next >= this.writeRps) return;
    this.writeRps = next;
    this.share();
  }

  private async raiseToken(signal: AbortSignal): Promise<void> {
    this.term.dependencies.logger.info({ why: this.raise }, 'raising the token');
    this.raise = null;
    const result = await this.term.dependencies.stateStore.commit(
      [this.key.condition()],
      [
        {
          kind: 'put',
          key: leaderKey(this.term.dependencies.partition),
          value: this.term.dependencies.leaderRecord,
          leaseId: this.term.leaseId,
        },
      ],
    );
    if (isAborted(signal)) return;
    if (result.kind === 'committed')
      this.term.dispatch({ kind: 'token-advanced', fencingToken: result.revision });
    else if (result.kind === 'conflict' && !(await this.key.stillLeader()))
      this.term.end('the part has changed hands');
  }

  /** Sends a transaction until its fate is known. Its guards make repeats harmless. */
  private async commit(transaction: Transaction, signal: AbortSignal): Promise<void> {
    const { stateStore } = this.term.dependencies;
    const guards: CompareCondition[] = [
      { key: leaderKey(this.term.dependencies.partition), modRevision: transaction.fencingToken },
    ];
    const writes: WriteOperation[] = [];
    for (const [id, modRevision] of transaction.jobConditions) guards.push({ key: jobKey(id), modRevision });
    for (const page of transaction.pages) {
      const key = pageKey(this.term.dependencies.partition, page.id);
      guards.push({ key, modRevision: page.modRevision });
      writes.push({ kind: 'put', key, value: encodePage(page.entries, this.term.dependencies.config.zones) });
    }
    for (const id of transaction.completedJobs) writes.push(...this.endOf(id, 'done'));
    for (const id of transaction.cancelledJobs) writes.push(...this.endOf(id, 'cancelled'));
    let doubtful = false;
    for (let n = 0; !signal.aborted; n++) {
      const result = await stateStore.commit(guards, writes);
      if (isAborted(signal)) return;
      if (result.kind === 'committed')
        return this.term.dispatch({
          kind: 'transaction-committed',
          transaction,
          modRevision: result.revision,
        });
      if (result.kind === 'conflict') return this.onConflict(transaction, result, doubtful, signal);
      if (result.kind === 'unknown') doubtful = true;
      else this.heedRefusal(result.reason);
      this.term.dependencies.logger.debug({ why: result.reason, n }, 'transaction not settled yet');
      await sleep(jittered(Math.min(100 * 2 ** n, 1500)), signal);
    }
  }

  /** The record of a job that is over; none if the job is not known any more. */
  private endOf(id: string, status: 'done' | 'cancelled'): WriteOperation[] {
    const job = this.term.scheduler.state.jobs.byId.get(id);
    if (job === undefined) return [];
    const { spec, submittedAt: submitted } = job;
    return [{ kind: 'put', key: jobKey(id), value: encodeJob({ spec, submittedAt: submitted, status }) }];
  }

  /** How a job stands by the followed copy; null if it is not there. */
  private standingOf(id: string): JobStatus | null {
    const entry = this.term.dependencies.stateStore.replica.get(jobKey(id));
    return entry === undefined ? null : jobSummaryOf(entry.value).status;
  }

  private async onConflict(
    transaction: Transaction,
    conflict: { readonly failedKeys: readonly string[]; readonly revision: number },
    doubtful: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { stateStore } = this.term.dependencies;
    const { failedKeys: failed } = conflict;
    // What the conflict means can only be read from a copy that holds it: an older one still shows the stamps that the
    // transaction was guarded by, and taking those for what it left behind would fail every later write of the page.
    while (!(await stateStore.waitForRevision(conflict.revision, 2000))) if (isAborted(signal)) return;
    if (!(await this.key.stillLeader())) return this.term.end('the part has changed hands');
    const moved = transaction.pages.find((page) =>
      failed.includes(pageKey(this.term.dependencies.partition, page.id)),
    );
    // Pages have one writer: a page that moved on was moved by an earlier copy of this very transaction.
    if (moved !== undefined) {
      const entry = stateStore.replica.get(pageKey(this.term.dependencies.partition, moved.id));
      if (doubtful && entry !== undefined)
        return this.term.dispatch({
          kind: 'transaction-committed',
          transaction,
          modRevision: entry.modRevision,
        });
      return this.term.end('a page was written by somebody else');
    }
    if (doubtful && transaction.pages.length === 0) {
      const carriedOut =
        transaction.completedJobs.every((id) => this.standingOf(id) === 'done') &&
        transaction.cancelledJobs.every((id) => this.standingOf(id) === 'cancelled');
      if (carriedOut)
        return this.term.dispatch({
          kind: 'transaction-committed',
          transaction,
          modRevision: stateStore.revision,
        });
    }
    this.term.dependencies.logger.info({ failed }, 'transaction refused by its guards; planned anew');
  }
}
