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
   * Returns the condition that lets a transaction commit only while this process is the leader under the given token.
   */
  condition(fencingToken: number = this.term.scheduler.state.term.fencingToken): CompareCondition {
    return { key: leaderKey(this.term.dependencies.partition), modRevision: fencingToken };
  }

  /** Returns a write that puts the key again with the same value, which advances its mod revision, the token. */
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
   * Called after a conflict of a transaction that is conditioned on the key. Ends the term and returns true if the
   * leadership is lost. Otherwise returns false; if the key's mod revision has increased, an advance of the token by
   * this process was committed, and it is dispatched to the core. If the replica cannot be synced, the term continues
   * and the result is false.
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
