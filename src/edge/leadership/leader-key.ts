import { leaderKey } from '../../wire/keys.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import type { CompareCondition } from '../../wire/state-store-protocol.js';
import type { TermContext } from './term-context.js';

/** The key in the state service that makes this process the owner of the part. */
export class LeaderKey {
  constructor(private readonly term: TermContext) {}

  /** Has a transaction carried out only while we are the owner. */
  condition(): CompareCondition {
    return {
      key: leaderKey(this.term.dependencies.partition),
      modRevision: this.term.scheduler.state.term.fencingToken,
    };
  }

  /** After a conflict on our own key: our own raise may just have been carried out, or the term is over. */
  async stillLeader(): Promise<boolean> {
    if (!(await this.term.dependencies.stateStore.syncReplica(2000))) return true;
    const entry = this.term.dependencies.stateStore.replica.get(leaderKey(this.term.dependencies.partition));
    if (
      entry === undefined ||
      (entry.value as LeaderRecord).incarnation !== this.term.dependencies.leaderRecord.incarnation
    )
      return false;
    if (entry.modRevision > this.term.scheduler.state.term.fencingToken)
      this.term.dispatch({ kind: 'token-advanced', fencingToken: entry.modRevision });
    return true;
  }
}
