/**
 * @file Watches the replica during a term: dispatches changes of jobs to the core as events, and ends the term if the
 * leader key is lost. It owns only its subscription.
 */
import type { Subscription } from 'rxjs';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { parseKey } from '../../wire/keys.js';
import { decodeJob } from '../../wire/job-record.js';
import type { KeyChange, ReplicaEntry } from '../state-store/replica-view.js';
import type { LeaderKey } from './leader-key.js';
import type { TermContext } from './term-context.js';

/** Handles the changes of the replica that concern the leader. */
export class ReplicaWatcher {
  constructor(
    private readonly term: TermContext,
    private readonly key: LeaderKey,
    private readonly onUserWrite: () => void,
  ) {}

  /** Runs until unsubscribed. */
  start(): Subscription {
    return this.term.dependencies.stateStore.changes.subscribe((change) => this.onChange(change));
  }

  private onChange({ key, entry }: KeyChange): void {
    const parsed = parseKey(key);
    if (parsed.kind === 'job' && entry !== null) this.onJobChange(parsed.id, entry);
    if (parsed.kind === 'leader' && parsed.partition === this.term.dependencies.partition)
      this.onLeaderKeyChange(entry);
  }

  private onJobChange(id: string, { value, modRevision }: ReplicaEntry): void {
    if (value instanceof FinishedJobSummary) return;
    const record = decodeJob(value);
    // Only the leader itself records jobs as done. All other changes count as users' writes, including the leader's
    // own record of a job that was cancelled through a dependency.
    if (record.status !== 'done') this.onUserWrite();
    this.term.dispatch({ kind: 'job-changed', id, record, modRevision });
  }

  private onLeaderKeyChange(entry: ReplicaEntry | null): void {
    if (entry !== null && this.key.isOwn(entry)) return;
    // The claim that started this term may reach the replica late, after a previous leader's record. The term ends
    // only if the key was deleted, or if another process wrote it after the claim.
    if (entry === null || entry.modRevision > this.term.scheduler.state.term.firstFencingToken)
      this.term.end({ kind: 'leader-key-replaced' });
  }
}
