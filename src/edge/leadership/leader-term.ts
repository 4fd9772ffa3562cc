import { setMaxListeners } from 'node:events';
import { Subscription, interval } from 'rxjs';
import { isOverloaded } from '../../core/state/overload.js';
import type { Effect } from '../../core/model/effects.js';
import type { HeartbeatAnswer } from '../../core/model/worker-command.js';
import type { ScaleOutRequest } from '../../core/model/scale-out.js';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import { ClusterScheduler } from '../../core/cluster-scheduler.js';
import type { Event } from '../../core/events.js';
import {
  mayAcknowledgeHeartbeats,
  mayStartTasks,
  previousLeadersDeadlineFrom,
} from '../../core/state/leadership-timing.js';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { parseKey, zoneRecordKey } from '../../wire/keys.js';
import { decodeJob } from '../../wire/job-record.js';
import type { LeaderRecord } from '../../wire/leader-record.js';
import { currentTime, monotonicNow } from '../runtime/clock.js';
import { CloudPoller } from '../cloud/cloud-poller.js';
import { CommitLoop } from './commit-loop.js';
import { LeaderKey } from './leader-key.js';
import { LeadershipLease } from './leadership-lease.js';
import type { KeyChange, ReplicaEntry } from '../state-store/replica-view.js';
import type { TermContext, TermDependencies } from './term-context.js';
import { TermStartupProfile, stepOf } from './term-startup-profile.js';
import { WorkerCommandSender } from '../workers/worker-command-sender.js';
import { ZoneRecordWriter } from './zone-record-writer.js';

const TICK_MS = 100;

/**
 * One term as the owner of a part: the core with the sockets and timers round it. All of its routines hang on one
 * subscription, which ends with the term.
 */
export class LeaderTerm {
  private readonly scheduler: ClusterScheduler;
  private readonly routines = new Subscription();
  private readonly workers: WorkerCommandSender;
  private readonly commits: CommitLoop;
  private readonly contact: LeadershipLease;
  private readonly polling: CloudPoller;
  private readonly profile: TermStartupProfile;
  private readonly zones: ZoneRecordWriter;
  private rentals = 0;
  private over = false;
  private tickedAt = monotonicNow();
  private readonly stop = new AbortController();

  constructor(
    private readonly dependencies: TermDependencies,
    fencingToken: number,
    /** When the claim was sent that made us the owner: the first moment at which the state service surely knew us. */
    claimed: bigint,
    private readonly lease: number,
    renewMs: number,
  ) {
    // Rentals and returns under way each listen for the end of the term; there is no fixed number of them.
    setMaxListeners(0, this.stop.signal);
    const t = currentTime();
    const term = {
      fencingToken,
      startedAt: t.monotonic,
      confirmedAt: claimed,
      previousLeadersDeadline: previousLeadersDeadlineFrom(dependencies.config, t.monotonic),
    };
    const zonePolicy = dependencies.newZonePolicy?.() ?? null;
    this.scheduler = new ClusterScheduler(dependencies.config, dependencies.settings, term, zonePolicy);
    this.profile = new TermStartupProfile(t.monotonic, dependencies.logger);
    const context: TermContext = {
      dependencies,
      scheduler: this.scheduler,
      leaseId: lease,
      renewIntervalMs: renewMs,
      dispatch: (event) => this.event(event),
      end: (reason) => this.end(reason),
    };
    const key = new LeaderKey(context);
    this.commits = new CommitLoop(context, key);
    this.contact = new LeadershipLease(context, key);
    this.polling = new CloudPoller(context);
    this.zones = new ZoneRecordWriter(context, key);
    this.workers = new WorkerCommandSender(
      dependencies.maxWorkerConnections,
      () => this.scheduler.state.term.fencingToken,
      (command) =>
        mayStartTasks(this.scheduler.state.term.confirmedAt, monotonicNow()) &&
        this.scheduler.state.jobs.byId.get(command.jobId)?.status === 'open',
      (result) =>
        this.event({
          kind: 'commands-answered',
          machineName: result.batch.machineName,
          agentEpoch: result.batch.agentEpoch,
          fencingToken: result.fencingToken,
          commands: result.batch.commands,
          outcome: result.outcome,
          heartbeat: result.heartbeat,
        }),
    );
  }

  get fencingToken(): number {
    return this.scheduler.state.term.fencingToken;
  }

  /** It is late with what workers ask. */
  get overloaded(): boolean {
    return isOverloaded(this.scheduler.state.term);
  }

  start(): void {
    const { stateStore } = this.dependencies;
    this.load();
    this.routines.add(this.workers.start());
    this.routines.add(() => this.stop.abort());
    this.routines.add(stateStore.changes.subscribe((change) => this.onChange(change)));
    this.routines.add(interval(TICK_MS).subscribe(() => this.tick()));
    this.routines.add(this.contact.start());
    this.routines.add(this.commits.start());
    this.routines.add(this.polling.start());
    if (this.scheduler.state.zonePolicy !== null) this.routines.add(this.zones.start());
  }

  end(reason: string): void {
    if (this.over) return;
    this.over = true;
    this.dependencies.logger.info({ fencingToken: this.fencingToken, why: reason }, 'term over');
    this.routines.unsubscribe();
    this.dependencies.onEnd(reason);
  }

  private isOver(): boolean {
    return this.over;
  }

  /** The answer to a worker's report, or null if we may no longer answer. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer | null {
    if (
      this.over ||
      !mayAcknowledgeHeartbeats(
        this.dependencies.config,
        this.scheduler.state.term.confirmedAt,
        monotonicNow(),
      )
    )
      return null;
    this.event({ kind: 'heartbeat', heartbeat });
    if (this.isOver()) return null;
    const began = currentTime();
    const commands = this.scheduler.answerHeartbeat(heartbeat, began);
    if (this.profile.active) this.profile.add('reports', monotonicNow() - began.monotonic);
    return { fencingToken: this.fencingToken, commands };
  }

  private loadJob(id: string, { value, modRevision }: ReplicaEntry): void {
    // Of a job that has ended and of which nothing is placed only others may want to know.
    if (value instanceof FinishedJobSummary) this.event({ kind: 'job-finished', id, status: value.status });
    else this.event({ kind: 'job-changed', id, record: decodeJob(value), modRevision });
  }

  private load(): void {
    const pages: { readonly id: number; readonly entry: ReplicaEntry }[] = [];
    for (const [key, entry] of this.dependencies.stateStore.replica) {
      const parsed = parseKey(key);
      if (parsed.kind === 'job') this.loadJob(parsed.id, entry);
      if (parsed.kind === 'page' && parsed.partition === this.dependencies.partition)
        pages.push({ id: parsed.id, entry });
    }
    for (const { id, entry } of pages)
      this.event({
        kind: 'page-loaded',
        id,
        entries: this.dependencies.pageCache.of(entry),
        modRevision: entry.modRevision,
      });
    this.event({ kind: 'load-completed' });
    const zones = this.dependencies.stateStore.replica.get(zoneRecordKey(this.dependencies.partition));
    if (zones !== undefined) this.scheduler.state.zonePolicy?.restore(zones.value, currentTime());
    this.dependencies.logger.info(
      { fencingToken: this.fencingToken, jobs: this.scheduler.state.jobs.byId.size, pages: pages.length },
      'term begins',
    );
  }

  private tick(): void {
    const t = monotonicNow();
    const late = t - this.tickedAt - BigInt(TICK_MS) * 1_000_000n;
    this.tickedAt = t;
    this.scheduler.recordEventLoopLag(late > 0n ? late : 0n);
    this.event({ kind: 'tick' });
    this.profile.tellWhenOver(t);
  }

  private event(event: Event): void {
    if (this.over) return;
    const passed = this.scheduler.state.scheduling.lastCycleAt;
    const began = currentTime();
    const effects = this.scheduler.handle(event, began);
    const hasPassed = this.scheduler.state.scheduling.lastCycleAt !== passed;
    if (hasPassed || this.profile.active) {
      const took = monotonicNow() - began.monotonic;
      if (hasPassed) this.scheduler.recordCycleDuration(took);
      if (this.profile.active) this.profile.add(hasPassed ? 'passes' : stepOf(event), took);
    }
    for (const effect of effects) this.carryOut(effect);
    if (
      this.scheduler.state.records.dirtyPages.size > 0 ||
      this.scheduler.state.records.jobsToComplete.size > 0
    )
      this.commits.wake();
  }

  private carryOut(effect: Effect): void {
    const { logger } = this.dependencies;
    switch (effect.kind) {
      case 'log':
        logger[effect.level](effect.fields, effect.message);
        break;
      case 'send-commands': {
        const endpoint = this.scheduler.state.machines.byName.get(effect.machineName)?.endpoint ?? '';
        const batch = {
          machineName: effect.machineName,
          endpoint,
          agentEpoch: effect.agentEpoch,
          commands: effect.commands,
        };
        if (endpoint !== '') this.workers.push(batch);
        break;
      }
      case 'scale-out':
        this.rent(effect.request);
        break;
      case 'scale-in':
        this.giveBack(effect.machineNames, effect.reason);
        break;
      case 'advance-token':
        this.commits.requestTokenAdvance(effect.reason);
        break;
      case 'persist-zones':
        this.zones.save(effect.record);
        break;
      case 'step-down':
        this.end(effect.reason);
        this.dependencies.onStepDown();
        // Without its lease the key goes at once, and another controller can take the part.
        void this.dependencies.stateStore.revokeLease(this.lease);
        break;
      case 'superseded':
        this.end(`a worker has seen the higher token ${effect.fencingToken}`);
        break;
    }
  }

  private rent(request: ScaleOutRequest): void {
    // The first token of a term is committed and belongs to this process alone: names made of it are never reused.
    const name = `r-${this.scheduler.state.term.firstFencingToken}-${++this.rentals}`;
    this.event({ kind: 'scale-out-started', name, request });
    void this.dependencies.cloud.scaleOut(name, request, this.stop.signal).then((machines) => {
      this.dependencies.logger.info(
        { name, wanted: request.count, got: machines?.length ?? 0 },
        'rental answered',
      );
      this.event({ kind: 'scale-out-answered', name, machines });
    });
  }

  private giveBack(machines: readonly string[], reason: string): void {
    this.dependencies.logger.info({ machines, why: reason }, 'returning machines');
    void this.dependencies.cloud
      .scaleIn(
        machines,
        () => mayStartTasks(this.scheduler.state.term.confirmedAt, monotonicNow()),
        this.stop.signal,
      )
      .then((ok) => this.event({ kind: 'scale-in-answered', machines, succeeded: ok }));
  }

  private onChange(change: KeyChange): void {
    const key = parseKey(change.key);
    if (key.kind === 'job' && change.entry !== null) {
      if (change.entry.value instanceof FinishedJobSummary) return;
      const record = decodeJob(change.entry.value);
      if (record.status !== 'done') this.commits.recordUserWrite();
      this.event({ kind: 'job-changed', id: key.id, record, modRevision: change.entry.modRevision });
    }
    if (key.kind === 'leader' && key.partition === this.dependencies.partition) {
      const mine =
        change.entry !== null &&
        (change.entry.value as LeaderRecord).incarnation === this.dependencies.leaderRecord.incarnation;
      // Our own key may be followed late, but a key that is gone or another's is the end of the term.
      if (
        !mine &&
        (change.entry === null || change.entry.modRevision > this.scheduler.state.term.firstFencingToken)
      )
        this.end('the part has another owner');
    }
  }
}
