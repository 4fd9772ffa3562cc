/**
 * @file One term of this process as leader: its lifecycle and the wiring of its components. It owns the core, and it
 * owns all background tasks through one subscription that ends with the term. After the end of the term, no event
 * reaches the core.
 */
import { setMaxListeners } from 'node:events';
import { Subscription, interval } from 'rxjs';
import { ClusterScheduler } from '../../core/cluster-scheduler.js';
import type { Event } from '../../core/model/events.js';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { HeartbeatAnswer, WorkerCommand } from '../../core/model/worker-command.js';
import {
  mayAcknowledgeHeartbeats,
  mayStartTasks,
  previousLeadersDeadlineFrom,
} from '../../core/state/leadership-timing.js';
import { isOverloaded } from '../../core/state/overload.js';
import { CloudPoller } from './cloud-poller.js';
import { currentTime, monotonicNow } from '../runtime/clock.js';
import { isAborted } from '../runtime/supervised-task.js';
import { WorkerCommandSender } from '../workers/worker-command-sender.js';
import { CommitLoop } from './commit-loop.js';
import { EffectExecutor } from './effect-executor.js';
import { LeaderKey } from './leader-key.js';
import { LeadershipLease } from './leadership-lease.js';
import { loadFromReplica } from './replica-loader.js';
import { ReplicaWatcher } from './replica-watcher.js';
import type { LeadershipGrant, TermContext, TermDependencies } from './term-context.js';
import { termEndLogFields, type TermEndReason } from './term-end-reason.js';
import { TermStartupProfile, stepOf } from './term-startup-profile.js';
import { ZoneRecordWriter } from './zone-record-writer.js';

const TICK_INTERVAL_MS = 100;
const TICK_INTERVAL_NS = BigInt(TICK_INTERVAL_MS) * 1_000_000n;

/** Creates the core of a new term. */
function newScheduler(
  { config, settings, newZonePolicy }: TermDependencies,
  { fencingToken, claimedAt }: LeadershipGrant,
  startedAt: bigint,
): ClusterScheduler {
  const previousLeadersDeadline = previousLeadersDeadlineFrom(config, startedAt);
  const term = { fencingToken, startedAt, confirmedAt: claimedAt, previousLeadersDeadline };
  return new ClusterScheduler(config, settings, term, newZonePolicy?.() ?? null);
}

/** One term as the leader of a partition: the core with its sockets and timers. */
export class LeaderTerm {
  private readonly scheduler: ClusterScheduler;
  private readonly context: TermContext;
  private readonly commandSender: WorkerCommandSender;
  private readonly commitLoop: CommitLoop;
  private readonly zoneRecordWriter: ZoneRecordWriter;
  private readonly lease: LeadershipLease;
  private readonly cloudPoller: CloudPoller;
  private readonly replicaWatcher: ReplicaWatcher;
  private readonly effectExecutor: EffectExecutor;
  private readonly profile: TermStartupProfile;
  private readonly routines = new Subscription();
  private readonly termination = new AbortController();
  private lastTickAt = monotonicNow();

  constructor(
    private readonly dependencies: TermDependencies,
    grant: LeadershipGrant,
  ) {
    // Each scaling request in flight listens for the end of the term, and the number of these requests is not fixed.
    setMaxListeners(0, this.termination.signal);
    const startedAt = currentTime().monotonic;
    this.scheduler = newScheduler(dependencies, grant, startedAt);
    this.profile = new TermStartupProfile(startedAt, dependencies.logger);
    this.context = this.newContext(grant);
    const key = new LeaderKey(this.context);
    this.commandSender = this.newCommandSender();
    this.commitLoop = new CommitLoop(this.context, key);
    this.zoneRecordWriter = new ZoneRecordWriter(this.context, key);
    this.lease = new LeadershipLease(this.context, key);
    this.cloudPoller = new CloudPoller(this.context);
    this.replicaWatcher = new ReplicaWatcher(this.context, key, () => this.commitLoop.recordUserWrite());
    const { commandSender, commitLoop, zoneRecordWriter } = this;
    const targets = { commandSender, commitLoop, zoneRecordWriter };
    this.effectExecutor = new EffectExecutor(this.context, targets, this.termination.signal);
  }

  /** The current fencing token. */
  get fencingToken(): number {
    return this.scheduler.state.term.fencingToken;
  }

  /** True if the event loop lags so much that heartbeats would be acknowledged too late. */
  get overloaded(): boolean {
    return isOverloaded(this.scheduler.state.term);
  }

  /** Loads the core from the replica and starts all background tasks. */
  start(): void {
    loadFromReplica(this.context);
    this.routines.add(this.commandSender.start());
    this.routines.add(this.replicaWatcher.start());
    this.routines.add(interval(TICK_INTERVAL_MS).subscribe(() => this.tick()));
    this.routines.add(this.lease.start());
    this.routines.add(this.commitLoop.start());
    this.routines.add(this.cloudPoller.start());
    if (this.scheduler.state.zonePolicy !== null) this.routines.add(this.zoneRecordWriter.start());
  }

  /** Ends the term; only the first call has an effect. */
  end(reason: TermEndReason): void {
    if (this.termination.signal.aborted) return;
    this.termination.abort();
    const { logger, onEnd } = this.dependencies;
    logger.info({ fencingToken: this.fencingToken, ...termEndLogFields(reason) }, 'leadership lost');
    this.routines.unsubscribe();
    onEnd();
  }

  /** Handles a worker's heartbeat. Returns the response, or null if this process may no longer acknowledge it. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    const { signal } = this.termination;
    if (signal.aborted || !this.mayAcknowledgeHeartbeats()) return null;
    this.dispatch({ kind: 'heartbeat', heartbeat });
    // The heartbeat itself may have ended the term by reporting a higher token.
    if (isAborted(signal)) return null;
    const startedAt = currentTime();
    const answer = this.scheduler.answerHeartbeat(heartbeat, startedAt);
    if (this.profile.active) this.profile.add('heartbeats', monotonicNow() - startedAt.monotonic);
    return answer;
  }

  private newContext({ leaseId, renewIntervalMs }: LeadershipGrant): TermContext {
    return {
      dependencies: this.dependencies,
      scheduler: this.scheduler,
      leaseId,
      renewIntervalMs,
      dispatch: (event) => this.dispatch(event),
      end: (reason) => this.end(reason),
    };
  }

  private newCommandSender(): WorkerCommandSender {
    return new WorkerCommandSender(
      this.dependencies.maxWorkerConnections,
      (machineName) => this.scheduler.fencingTokenFor(machineName),
      (command) => this.mayStart(command),
      ({ batch, fencingToken, calledAt, outcome, heartbeat }) => {
        const { machineName, agentEpoch, commands } = batch;
        this.dispatch({
          kind: 'commands-answered',
          machineName,
          agentEpoch,
          fencingToken,
          commands,
          calledAt,
          outcome,
          heartbeat,
        });
      },
    );
  }

  private mayAcknowledgeHeartbeats(): boolean {
    const { confirmedAt } = this.scheduler.state.term;
    return mayAcknowledgeHeartbeats(this.dependencies.config, confirmedAt, monotonicNow());
  }

  private mayStart({ jobId }: WorkerCommand): boolean {
    const { term, jobs } = this.scheduler.state;
    return mayStartTasks(term.confirmedAt, monotonicNow()) && jobs.byId.get(jobId)?.status === 'open';
  }

  private tick(): void {
    const now = monotonicNow();
    const lag = now - this.lastTickAt - TICK_INTERVAL_NS;
    this.lastTickAt = now;
    this.scheduler.recordEventLoopLag(lag > 0n ? lag : 0n);
    this.dispatch({ kind: 'tick' });
    this.profile.logOnceElapsed(now);
  }

  private dispatch(event: Event): void {
    if (this.termination.signal.aborted) return;
    const { scheduling, records } = this.scheduler.state;
    const previousCycleAt = scheduling.lastCycleAt;
    const startedAt = currentTime();
    const effects = this.scheduler.handle(event, startedAt);
    this.recordDuration(event, startedAt.monotonic, scheduling.lastCycleAt !== previousCycleAt);
    for (const effect of effects) this.effectExecutor.execute(effect);
    if (records.dirtyPages.size > 0 || records.jobsToComplete.size > 0) this.commitLoop.wake();
  }

  /** Records how long an event took; reads the clock only where the result is used. */
  private recordDuration(event: Event, startedAt: bigint, ranCycle: boolean): void {
    if (!ranCycle && !this.profile.active) return;
    const span = monotonicNow() - startedAt;
    if (ranCycle) this.scheduler.recordCycleDuration(span);
    if (this.profile.active) this.profile.add(ranCycle ? 'schedulingCycles' : stepOf(event), span);
  }
}
