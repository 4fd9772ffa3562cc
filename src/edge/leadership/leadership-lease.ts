import type { Subscription } from 'rxjs';
import { monotonicNow } from '../runtime/clock.js';
import type { LeaderKey } from './leader-key.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { TermContext } from './term-context.js';

const HEARTBEAT_MS = 1000;
/** Renewals of the lease in the state service that may be without an answer at once. */
const MOST_RENEWALS = 3;

/** Keeps the term's lease in the state service, and proves again and again that the term still owns the part. */
export class LeadershipLease {
  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    const { logger } = this.term.dependencies;
    const routines = supervise('lease', logger, (signal) => this.keepLease(signal));
    routines.add(supervise('heartbeat', logger, (signal) => this.heartbeat(signal)));
    return routines;
  }

  /**
   * Renewals are sent by the clock, not one after the other's answer: in a process that is a second behind each step
   * of the way takes that long, and a lease of three seconds ran out under an owner that had the state service.
   */
  private async keepLease(signal: AbortSignal): Promise<void> {
    let underWay = 0;
    while (!signal.aborted) {
      if (underWay < MOST_RENEWALS) {
        underWay += 1;
        void this.term.dependencies.stateStore.renewLease(this.term.leaseId).then((r) => {
          underWay -= 1;
          if (r === 'ended' && !signal.aborted) this.term.end('the lease in the state service ended');
        });
      }
      await sleep(this.term.renewIntervalMs, signal);
    }
  }

  /** A compare of our own stamp: proves that we are the owner, and as of when. */
  private async heartbeat(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sent = monotonicNow();
      const result = await this.term.dependencies.stateStore.commit([this.key.condition()], [], 1000);
      if (isAborted(signal)) return;
      if (
        result.kind === 'committed' &&
        (await this.term.dependencies.stateStore.waitForRevision(result.revision, 1000))
      )
        this.term.dispatch({ kind: 'leadership-confirmed', confirmedAt: sent });
      if (result.kind === 'conflict' && !(await this.key.stillLeader()))
        return this.term.end('the part has changed hands');
      await sleep(HEARTBEAT_MS, signal);
    }
  }
}
