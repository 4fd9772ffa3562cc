/** @file Simulates everything around the core: workers, messages, the state store, users and failovers. */
import assert from 'node:assert/strict';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ClusterScheduler } from '../../src/core/cluster-scheduler.js';
import type { Effect } from '../../src/core/model/effects.js';
import type { Event } from '../../src/core/model/events.js';
import type { Heartbeat } from '../../src/core/model/heartbeat.js';
import { seconds, toSeconds, type Timestamp } from '../../src/core/model/time.js';
import type { Transaction } from '../../src/core/model/transaction.js';
import type { HeartbeatAnswer, WorkerCommand } from '../../src/core/model/worker-command.js';
import {
  mayAcknowledgeHeartbeats,
  previousLeadersDeadlineFrom,
} from '../../src/core/state/leadership-timing.js';
import { DEFAULT_SETTINGS } from '../../src/edge/config/operator-settings.js';
import { CLUSTER_CONFIG, MACHINE_TYPE } from '../fixtures/cluster-config.js';
import { RequestCopies } from './request-copies.js';
import { SimulatedStateStore } from './state-store.js';
import { SimulatedUsers } from './users.js';
import { SimulatedWorker } from './worker.js';

/** A worker drops a response that arrives later than this after its heartbeat was sent, in seconds. */
const RESPONSE_TIMEOUT_S = 4;

/** What a run simulates besides the faults that all runs have. */
export interface SimulationOptions {
  /** Mean number of steps between failovers; a step takes 0.1 s. */
  readonly stepsBetweenFailovers: number;
  readonly overloaded?: boolean;
  readonly withDependencies?: boolean;
  /** Holds up responses to heartbeats, so that direct calls overtake them. */
  readonly holdsResponses?: boolean;
  /** Delivers copies of requests that were answered, until their receiver refuses them; workers refuse some starts. */
  readonly copiesRequests?: boolean;
}

/**
 * Simulates everything around the core: delayed, lost and duplicated messages, agent epochs that end, failovers and
 * cancellations.
 */
export class Simulation {
  private readonly generator;
  private secondsElapsed = 1000;
  private scheduler: ClusterScheduler;
  /** True once a first term has begun. */
  private hadLeader = false;
  /** The previous leader, partitioned from the state store and its peers, but not from its workers. */
  private previousLeader: ClusterScheduler | null = null;
  private readonly workers: SimulatedWorker[] = [];
  readonly store = new SimulatedStateStore();
  private readonly users = new SimulatedUsers(this.store, this.workers, (n) => this.randomBelow(n));
  private readonly messages: { due: number; run: () => void }[] = [];
  private committing = false;
  startCount = 0;
  /** Number of dependencies checked when tasks started, summed over the starts. */
  checkedDependencies = 0;
  /** Transactions that were applied late, after newer ones. */
  lateTransactions = 0;
  /** Heartbeats that a partitioned previous leader answered. */
  answeredByPreviousLeader = 0;

  /** Held responses with a start command that were delivered after the worker had answered a direct call. */
  overtakenStarts = 0;
  /** Jobs with a start command in a response that is held up. */
  private readonly jobsWithHeldStart: string[] = [];
  /** Copies of answered requests, or null if there are none. */
  readonly copies: RequestCopies | null;

  constructor(
    seed: number,
    private readonly options: SimulationOptions,
  ) {
    this.generator = xoroshiro128plus(seed);
    const copies =
      options.copiesRequests === true
        ? new RequestCopies(seed, (delayS, run) =>
            this.messages.push({ due: this.secondsElapsed + delayS, run }),
          )
        : null;
    this.copies = copies;
    for (let n = 0; n < 5; n++)
      this.workers.push(
        new SimulatedWorker(
          `m${n}`,
          this.secondsElapsed,
          (worker, command) => this.beforeStart(worker, command),
          () => copies?.refusesStart() === true,
        ),
      );
    this.scheduler = this.startTerm();
  }

  private randomBelow(n: number): number {
    return uniformInt(this.generator, 0, n - 1);
  }

  private now(): Timestamp {
    return {
      monotonic: seconds(this.secondsElapsed),
      wall: new Date(Date.UTC(2030, 0, 1) + this.secondsElapsed * 1000),
    };
  }

  /** Begins a term: its leader has a higher fencing token, and its state comes only from committed records. */
  private startTerm(): ClusterScheduler {
    const startedAt = this.now().monotonic;
    const token = this.store.advanceFencingToken();
    for (const worker of this.workers)
      assert.ok(worker.fencingToken < token, `${worker.name} has shown a token of a later leader`);
    const scheduler = new ClusterScheduler(CLUSTER_CONFIG, DEFAULT_SETTINGS, {
      fencingToken: token,
      startedAt,
      confirmedAt: startedAt,
      previousLeadersDeadline: previousLeadersDeadlineFrom(CLUSTER_CONFIG, startedAt),
    });
    // Half of the leaders that lose their leadership have not noticed it yet and go on answering.
    this.previousLeader = this.hadLeader && this.randomBelow(2) === 0 ? this.scheduler : null;
    this.hadLeader = true;
    this.scheduler = scheduler;
    this.committing = false;
    this.handleEvent({ kind: 'machine-types', types: [MACHINE_TYPE] });
    for (const [id, job] of this.store.jobs)
      this.handleEvent({ kind: 'job-changed', id, record: job.record, modRevision: job.modRevision });
    for (const [id, page] of this.store.pages)
      this.handleEvent({ kind: 'page-loaded', id, entries: page.entries, modRevision: page.modRevision });
    return scheduler;
  }

  private handleEvent(event: Event): void {
    for (const effect of this.scheduler.handle(event, this.now())) this.applyEffect(effect);
    this.commit();
  }

  /** Runs the action after a random delay of less than `maxDelayS` seconds. */
  private deliverWithin(maxDelayS: number, run: () => void): void {
    this.messages.push({
      due: this.secondsElapsed + this.randomBelow(Math.max(1, Math.round(maxDelayS * 10))) / 10,
      run,
    });
  }

  private applyEffect(effect: Effect, scheduler = this.scheduler): void {
    if (effect.kind === 'superseded' && scheduler === this.previousLeader) this.previousLeader = null;
    if (effect.kind === 'advance-token' && scheduler === this.scheduler) {
      this.deliverWithin(0.5, () => {
        if (scheduler !== this.scheduler) return;
        this.handleEvent({ kind: 'token-advanced', fencingToken: this.store.advanceFencingToken() });
      });
    }
    if (effect.kind !== 'send-commands') return;
    const token = scheduler.fencingTokenFor(effect.machineName);
    const calledAt = this.now().monotonic;
    const worker = this.workers.find((worker) => worker.name === effect.machineName);
    assert.ok(worker !== undefined);
    const reportOutcome = (
      outcome: 'executed' | 'refused' | 'unknown',
      heartbeat: Heartbeat | null,
    ): void => {
      if (scheduler !== this.scheduler) return;
      this.handleEvent({
        kind: 'commands-answered',
        machineName: effect.machineName,
        agentEpoch: effect.agentEpoch,
        fencingToken: token,
        commands: effect.commands,
        calledAt,
        outcome,
        heartbeat,
      });
    };
    const deliver = (): boolean => {
      // A machine that was paused also detects that its lease has expired before it accepts any command.
      worker.expireLease(this.secondsElapsed);
      const accepted = token >= worker.fencingToken && effect.agentEpoch === worker.agentEpoch;
      if (accepted) worker.applyCommands(token, effect.commands);
      return accepted;
    };
    // Commands to a paused machine are executed when it resumes.
    const remainingPauseS = Math.max(0, worker.pausedUntil - this.secondsElapsed);
    // The leader gives up on one call in five; its commands may arrive up to a minute later, or never.
    if (this.randomBelow(5) === 0 || worker.partitioned || worker.inboundLost || remainingPauseS > 1) {
      this.deliverWithin(1, () => reportOutcome('unknown', null));
      if (remainingPauseS > 1) this.messages.push({ due: worker.pausedUntil, run: deliver });
      else if (!worker.inboundLost && this.randomBelow(3) > 0) this.deliverWithin(60, () => deliver());
    } else
      this.deliverWithin(0.3, () => {
        const accepted = deliver();
        if (accepted && effect.commands.length > 0) this.copies?.deliverUntilRefused(deliver);
        reportOutcome(accepted ? 'executed' : 'refused', worker.nextHeartbeat());
      });
  }

  /** Checks that a task may start, and returns when it will end by itself. */
  private beforeStart(worker: SimulatedWorker, command: WorkerCommand): number {
    this.startCount += 1;
    const key = `${command.jobId}/${command.taskIndex}#${command.attempt}`;
    for (const id of this.store.jobs.get(command.jobId)?.record.spec.dependencies ?? []) {
      this.checkedDependencies += 1;
      assert.equal(
        this.store.jobs.get(id)?.record.status,
        'done',
        `${key} starts too early: ${id} is not done`,
      );
    }
    const recorded = this.store.pageEntriesOf(command.jobId).flatMap((entry) => entry.record.assignments);
    assert.ok(
      recorded.some(
        (assignment) =>
          assignment.taskIndex === command.taskIndex &&
          assignment.attempt === command.attempt &&
          assignment.machineName === worker.name,
      ),
      `${key} starts on ${worker.name} without a recorded assignment`,
    );
    for (const other of this.workers)
      for (const otherTask of other.tasks.values())
        assert.ok(
          otherTask.state === 'exited' ||
            otherTask.jobId !== command.jobId ||
            otherTask.taskIndex !== command.taskIndex,
          `${command.jobId}/${command.taskIndex} starts on ${worker.name} while on ${other.name}`,
        );
    return this.secondsElapsed + 2 + this.randomBelow(15);
  }

  private sendHeartbeat(worker: SimulatedWorker): void {
    // A worker has one heartbeat in flight at a time.
    if (this.secondsElapsed < worker.awaitsResponseUntil) return;
    const heartbeat = worker.nextHeartbeat();
    if (worker.outboundLost) return;
    // A delayed heartbeat arrives late and its response is dropped. A heartbeat may also be duplicated.
    if (worker.partitioned || this.randomBelow(12) === 0)
      return this.deliverWithin(40, () => this.handleEvent({ kind: 'heartbeat', heartbeat }));
    if (this.randomBelow(8) === 0)
      this.deliverWithin(40, () => this.handleEvent({ kind: 'heartbeat', heartbeat }));
    this.copies?.deliverSometimes(() => this.handleEvent({ kind: 'heartbeat', heartbeat }));
    // Workers keep sending to their leader for as long as it answers.
    const response = this.answerByPreviousLeader(heartbeat) ?? this.answerByLeader(heartbeat);
    if (worker.inboundLost || this.randomBelow(12) === 0) return;
    const sentAt = this.secondsElapsed;
    if (this.options.holdsResponses === true && this.randomBelow(2) === 0)
      this.holdResponse(worker, heartbeat, response, sentAt);
    else this.deliverResponse(worker, heartbeat, response, sentAt);
  }

  /** Delivers a response to a heartbeat after a delay that the worker still waits out. */
  private holdResponse(
    worker: SimulatedWorker,
    heartbeat: Heartbeat,
    response: HeartbeatAnswer,
    sentAt: number,
  ): void {
    const delayS = (1 + this.randomBelow(RESPONSE_TIMEOUT_S * 10 - 1)) / 10;
    worker.awaitsResponseUntil = sentAt + delayS;
    const startedJobs = response.commands.filter(({ op }) => op === 'start').map(({ jobId }) => jobId);
    this.jobsWithHeldStart.push(...startedJobs);
    const deliver = (): void => {
      for (const id of startedJobs) this.jobsWithHeldStart.splice(this.jobsWithHeldStart.indexOf(id), 1);
      if (startedJobs.length > 0 && worker.sequence > heartbeat.sequence) this.overtakenStarts += 1;
      this.deliverResponse(worker, heartbeat, response, sentAt);
    };
    this.messages.push({ due: sentAt + delayS, run: deliver });
  }

  private deliverResponse(
    worker: SimulatedWorker,
    heartbeat: Heartbeat,
    response: HeartbeatAnswer,
    sentAt: number,
  ): void {
    // A paused worker finds the response when it resumes, and drops it if it has waited for too long by then.
    if (this.secondsElapsed < worker.pausedUntil) {
      this.messages.push({
        due: worker.pausedUntil,
        run: () => this.deliverResponse(worker, heartbeat, response, sentAt),
      });
      return;
    }
    worker.expireLease(this.secondsElapsed);
    if (this.secondsElapsed - sentAt > RESPONSE_TIMEOUT_S) return;
    if (response.fencingToken < worker.fencingToken || heartbeat.agentEpoch !== worker.agentEpoch) return;
    worker.lastRenewedAt = sentAt;
    worker.applyCommands(response.fencingToken, response.commands);
  }

  private answerByLeader(heartbeat: Heartbeat): HeartbeatAnswer {
    this.handleEvent({ kind: 'heartbeat', heartbeat });
    return this.scheduler.answerHeartbeat(heartbeat, this.now());
  }

  private answerByPreviousLeader(heartbeat: Heartbeat): HeartbeatAnswer | null {
    const previousLeader = this.previousLeader;
    if (previousLeader === null) return null;
    if (
      !mayAcknowledgeHeartbeats(CLUSTER_CONFIG, previousLeader.state.term.confirmedAt, this.now().monotonic)
    ) {
      this.previousLeader = null;
      return null;
    }
    for (const effect of previousLeader.handle({ kind: 'heartbeat', heartbeat }, this.now()))
      this.applyEffect(effect, previousLeader);
    if (this.previousLeader === null) return null;
    this.answeredByPreviousLeader += 1;
    return previousLeader.answerHeartbeat(heartbeat, this.now());
  }

  private commit(): void {
    if (this.committing) return;
    const transaction = this.scheduler.nextTransaction(this.now());
    if (transaction === null) return;
    this.committing = true;
    this.sendTransaction(transaction, this.scheduler, false);
  }

  /**
   * Sends a transaction to the state store. One in six gets no response: it was applied (outcome 1), or it is applied
   * seconds later, after newer ones (outcome 0). In both cases it is sent again.
   */
  private sendTransaction(transaction: Transaction, scheduler: ClusterScheduler, isRetry: boolean): void {
    const outcome = this.randomBelow(6) === 0 ? this.randomBelow(2) : 2;
    if (outcome === 0)
      this.deliverWithin(12, () => {
        this.lateTransactions += 1;
        this.store.applyTransaction(transaction);
      });
    this.deliverWithin(0.3, () => {
      const modRevision = outcome === 0 ? null : this.store.applyTransaction(transaction);
      if (modRevision !== null)
        this.copies?.deliverOnce(() =>
          assert.equal(this.store.applyTransaction(transaction), null, 'a copy of a transaction is refused'),
        );
      if (scheduler !== this.scheduler) return;
      if (outcome < 2)
        return this.deliverWithin(1.5, () => this.sendTransaction(transaction, scheduler, true));
      this.committing = false;
      // Each page has one writer, so a page that has changed was written by an earlier copy of the same transaction.
      const changedPage = transaction.pages.find(
        (page) => this.store.pageRevision(page.id) !== page.modRevision,
      );
      if (modRevision !== null) this.handleEvent({ kind: 'transaction-committed', transaction, modRevision });
      else if (isRetry && changedPage !== undefined)
        this.handleEvent({
          kind: 'transaction-committed',
          transaction,
          modRevision: this.store.pageRevision(changedPage.id),
        });
      else if (isRetry && transaction.pages.length === 0 && this.store.isApplied(transaction))
        this.handleEvent({ kind: 'transaction-committed', transaction, modRevision: this.store.revision });
      else {
        assert.equal(changedPage, undefined, 'one writer per page');
        this.commit();
      }
    });
  }

  step(stepIndex: number): void {
    this.secondsElapsed = Math.round((this.secondsElapsed + 0.1) * 10) / 10;
    for (const message of this.messages.filter((candidate) => candidate.due <= this.secondsElapsed)) {
      this.messages.splice(this.messages.indexOf(message), 1);
      message.run();
    }
    for (const worker of this.workers) {
      if (this.randomBelow(900) === 0) worker.pausedUntil = this.secondsElapsed + 1 + this.randomBelow(14);
      if (this.secondsElapsed < worker.pausedUntil) {
        // A paused machine runs nothing. Its tasks continue only if it resumes before its lease expires.
        worker.expireLease(this.secondsElapsed);
        worker.delayTasks(0.1);
        continue;
      }
      worker.endDueTasks(this.secondsElapsed, () => (this.randomBelow(8) === 0 ? 'error' : 'done'));
      worker.expireLease(this.secondsElapsed);
      if (this.randomBelow(400) === 0) worker.partitioned = !worker.partitioned;
      if (this.randomBelow(600) === 0) worker.inboundLost = !worker.inboundLost;
      if (this.randomBelow(600) === 0) worker.outboundLost = !worker.outboundLost;
      if ((stepIndex + Number(worker.name.slice(1)) * 2) % 10 === 0) this.sendHeartbeat(worker);
    }
    if (stepIndex % 10 === 0)
      this.handleEvent({
        kind: 'leadership-confirmed',
        confirmedAt: this.now().monotonic,
        revision: this.store.revision,
      });
    if (stepIndex % 3 === 0) {
      // In an overloaded run the process lags two fifths of the time, and then sends all commands in heartbeat
      // responses.
      if (this.options.overloaded === true) this.recordLag(stepIndex);
      this.handleEvent({ kind: 'tick' });
      const previousLeader = this.previousLeader;
      if (previousLeader !== null)
        for (const effect of previousLeader.handle({ kind: 'tick' }, this.now()))
          this.applyEffect(effect, previousLeader);
    }
    if (this.randomBelow(40) === 0) this.submitJob(stepIndex);
    if (this.randomBelow(120) === 0) this.cancelJob();
    if (this.randomBelow(this.options.stepsBetweenFailovers) === 0) this.startTerm();
    this.checkInvariants();
  }

  /**
   * Overloads the leader for the last two fifths of each period. With responses held up, a period is short: starts that
   * an overloaded leader leaves to responses are overtaken by the direct calls of the next period.
   */
  private recordLag(stepIndex: number): void {
    const periodSteps = this.options.holdsResponses === true ? 50 : 1000;
    const lags = stepIndex % periodSteps >= (periodSteps * 3) / 5;
    this.scheduler.recordEventLoopLag(lags ? seconds(0.5) : 0n);
  }

  private submitJob(stepIndex: number): void {
    const withDependencies = this.options.withDependencies === true;
    const change = this.users.submit(`j${stepIndex}`, withDependencies, this.now().wall);
    this.handleEvent({ kind: 'job-changed', ...change });
  }

  private cancelJob(): void {
    const change = this.users.cancel(this.secondsElapsed, this.jobsWithHeldStart);
    if (change !== null) this.deliverWithin(0.4, () => this.handleEvent({ kind: 'job-changed', ...change }));
  }

  private checkInvariants(): void {
    const gpusByTeam = new Map<string, number>();
    for (const worker of this.workers)
      for (const task of worker.tasks.values()) {
        const job = this.store.jobs.get(task.jobId);
        if (task.state === 'exited' || job === undefined) continue;
        gpusByTeam.set(
          job.record.spec.team,
          (gpusByTeam.get(job.record.spec.team) ?? 0) + job.record.spec.gpus,
        );
        if (job.cancelledAt !== null)
          assert.ok(
            this.secondsElapsed - job.cancelledAt <= toSeconds(CLUSTER_CONFIG.cancellationDeadline),
            `${task.jobId} runs on ${worker.name} long after its cancellation`,
          );
      }
    for (const team of CLUSTER_CONFIG.teams)
      if (team.gpuQuota > 0)
        assert.ok((gpusByTeam.get(team.name) ?? 0) <= team.gpuQuota, `${team.name} is over its quota`);
  }
}
