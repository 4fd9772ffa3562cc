/**
 * @file Maintains a leadership: renews the lease to which the leader key is attached, and confirms at an interval
 * that the key still belongs to this process. It owns no state except the number of renewals in flight; it never
 * claims a leadership.
 */
import type { Subscription } from 'rxjs';
import { monotonicNow } from '../runtime/clock.js';
import { isAborted, sleep, supervise } from '../runtime/supervised-task.js';
import type { LeaderKey } from './leader-key.js';
import type { TermContext } from './term-context.js';

const CONFIRM_INTERVAL_MS = 1000;
const CONFIRM_TIMEOUT_MS = 1000;
/** Upper bound on the lease renewals in flight. */
const MAX_RENEWALS_IN_FLIGHT = 3;

/** Renews the term's lease in the state store and confirms the leadership, both at an interval. */
export class LeadershipLease {
  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
  ) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    const { logger } = this.term.dependencies;
    const routines = supervise('lease renewal', logger, (signal) => this.renewLease(signal));
    routines.add(supervise('leadership confirmation', logger, (signal) => this.confirmLeadership(signal)));
    return routines;
  }

  /**
   * Sends renewals at a fixed interval, whether or not earlier ones were answered, as long as fewer than
   * `MAX_RENEWALS_IN_FLIGHT` are unanswered. The reason is that in a process whose event loop lags by a second, each
   * step of a request takes that long, and a lease of three seconds expired although its leader could reach the state
   * store.
   */
  private async renewLease(signal: AbortSignal): Promise<void> {
    const { stateStore } = this.term.dependencies;
    let inFlight = 0;
    while (!signal.aborted) {
      if (inFlight < MAX_RENEWALS_IN_FLIGHT) {
        inFlight += 1;
        void stateStore.renewLease(this.term.leaseId).then((result) => {
          inFlight -= 1;
          if (result === 'expired' && !signal.aborted) this.term.end({ kind: 'lease-expired' });
        });
      }
      await sleep(this.term.renewIntervalMs, signal);
    }
  }

  /**
   * Checks at an interval that the mod revision of the leader key is still the fencing token. If so, this process was
   * the leader when the check was sent. The core receives this confirmation only if the replica reaches the revision
   * of the check in time.
   */
  private async confirmLeadership(signal: AbortSignal): Promise<void> {
    const { stateStore } = this.term.dependencies;
    while (!signal.aborted) {
      const confirmedAt = monotonicNow();
      const result = await stateStore.commit([this.key.condition()], [], CONFIRM_TIMEOUT_MS);
      if (isAborted(signal)) return;
      if (
        result.kind === 'committed' &&
        (await stateStore.waitForRevision(result.revision, CONFIRM_TIMEOUT_MS))
      )
        this.term.dispatch({ kind: 'leadership-confirmed', confirmedAt, revision: result.revision });
      if (result.kind === 'conflict' && (await this.key.endTermIfLost())) return;
      await sleep(CONFIRM_INTERVAL_MS, signal);
    }
  }
}
