/**
 * @file The leader key in the state store: the process that wrote it last is the leader, and its mod revision is the
 * fencing token. It owns no state; the leader election makes the claim itself.
 */
import { leaderKey } from '../../wire/keys.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';
import type { ReplicaEntry } from '../state-store/replica-view.js';
import type { TermContext } from './term-context.js';

const SYNC_TIMEOUT_MS = 2000;

/** Conditions, writes and checks of the leader key, for the term that holds it. */
export class LeaderKey {
  constructor(private readonly term: TermContext) {}

  /**
   * Returns the condition that lets a transaction commit only while this process is the leader under the given
   * fencing token.
   */
  condition(fencingToken: number = this.term.scheduler.state.term.fencingToken): CompareCondition {
    return { key: leaderKey(this.term.dependencies.partition), modRevision: fencingToken };
  }

  /** Returns a write of the key with its own value, which advances its mod revision, the fencing token. */
  rewrite(): WriteOperation {
    const { partition, leaderRecord } = this.term.dependencies;
    return { kind: 'put', key: leaderKey(partition), value: leaderRecord, leaseId: this.term.leaseId };
  }

  /** True if this process wrote the given entry of the key. */
  isOwn(entry: ReplicaEntry): boolean {
    const { incarnation } = this.term.dependencies.leaderRecord;
    return (entry.value as LeaderRecord).incarnation === incarnation;
  }

  /**
   * Ends the term after a conflict on the key if the leadership is lost. Otherwise an advance of the fencing token by
   * this process has just been committed. Returns true if the leadership was lost.
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
