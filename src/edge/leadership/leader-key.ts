/**
 * @file The leader key in the state store: whoever wrote it last is the leader, and its mod revision is the fencing
 * token. It owns no state; the claim itself is made by the election.
 */
import { leaderKey } from '../../wire/keys.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';
import type { ReplicaEntry } from '../state-store/replica-view.js';
import type { TermContext } from './term-context.js';

const SYNC_TIMEOUT_MS = 2000;

/** The leader key of the term's partition, as the term that holds it sees it. */
export class LeaderKey {
  constructor(private readonly term: TermContext) {}

  /** Lets a transaction commit only while this process is the leader, under the given fencing token. */
  condition(fencingToken: number = this.term.scheduler.state.term.fencingToken): CompareCondition {
    return { key: leaderKey(this.term.dependencies.partition), modRevision: fencingToken };
  }

  /** Writes the key again with its own value: its mod revision, the fencing token, advances. */
  rewrite(): WriteOperation {
    const { partition, leaderRecord } = this.term.dependencies;
    return { kind: 'put', key: leaderKey(partition), value: leaderRecord, leaseId: this.term.leaseId };
  }

  /** Whether an entry of the key was written by this process. */
  isOwn(entry: ReplicaEntry): boolean {
    const { incarnation } = this.term.dependencies.leaderRecord;
    return (entry.value as LeaderRecord).incarnation === incarnation;
  }

  /**
   * After a conflict on the key: either an advance of the fencing token by this process has just been committed, or
   * the leadership is lost, and then the term ends. Returns whether it was lost.
   */
  async endTermIfLost(): Promise<boolean> {
    if (await this.isStillLeader()) return false;
    this.term.end({ kind: 'leader-key-conflict' });
    return true;
  }

  private async isStillLeader(): Promise<boolean> {
    const { stateStore, partition } = this.term.dependencies;
    if (!(await stateStore.syncReplica(SYNC_TIMEOUT_MS))) return true;
    const entry = stateStore.replica.get(leaderKey(partition));
    if (entry === undefined || !this.isOwn(entry)) return false;
    if (entry.modRevision > this.term.scheduler.state.term.fencingToken)
      this.term.dispatch({ kind: 'token-advanced', fencingToken: entry.modRevision });
    return true;
  }
}
