/**
 * @file The scheduler of a partition's leader, which turns events into effects. It owns the cluster state and the order
 * of handlers within an event; the modules that it calls implement the handling. It performs no input or output and
 * reads no clock: each call passes the time.
 */
import { onScaleInAnswered } from './capacity/scale-in-requests.js';
import { onScaleOutAnswered, onScaleOutStarted } from './capacity/scale-out-requests.js';
import { commandsForHeartbeat } from './commands/heartbeat-commands.js';
import { fencingTokenFor } from './commands/worker-tokens.js';
import { onCommandsAnswered } from './reconciliation/command-outcomes.js';
import { sendCommittedStarts } from './commands/direct-starts.js';
import type { Event } from './model/events.js';
import { onJobFinished } from './jobs/dependencies.js';
import type { ClusterConfig } from './model/cluster-config.js';
import type { Effect } from './model/effects.js';
import type { Heartbeat } from './model/heartbeat.js';
import type { OperatorSettings } from './model/operator-settings.js';
import type { Duration, Timestamp } from './model/time.js';
import type { HeartbeatAnswer } from './model/worker-command.js';
import type { ZonePolicy } from './model/zone-policy.js';
import { PeriodicMaintenance } from './periodic/maintenance.js';
import { onJobChanged } from './persistence/job-records.js';
import { onPageLoaded } from './persistence/recovery.js';
import { nextTransaction } from './persistence/transaction-builder.js';
import { onTransactionCommitted } from './persistence/commits.js';
import { type Transaction } from './model/transaction.js';
import { onWorkerHeartbeat } from './reconciliation/heartbeat-intake.js';
import { onImagesObserved } from './reconciliation/image-sightings.js';
import { reconcileInventory, updateMachineTypes } from './reconciliation/instance-inventory.js';
import { splitOversizedPages } from './records/page-splitting.js';
import { minCycleInterval } from './scheduling/cycle-interval.js';
import { runSchedulingCycle } from './scheduling/scheduling-cycle.js';
import { newClusterState, type ClusterState } from './state/cluster-state.js';
import { mayStartTasks } from './state/leadership-timing.js';
import {
  type LeadershipTerm,
  advanceFencingToken,
  confirmLeadership,
  recordEventLoopLag,
} from './state/term-state.js';

/** The scheduler of a partition during one leadership term: its state, and the handling of each event. */
export class ClusterScheduler {
  readonly state: ClusterState;
  private readonly maintenance: PeriodicMaintenance;

  constructor(
    config: ClusterConfig,
    settings: OperatorSettings,
    term: LeadershipTerm,
    zonePolicy: ZonePolicy | null = null,
  ) {
    this.state = newClusterState(config, settings, term, zonePolicy);
    this.maintenance = new PeriodicMaintenance(this.state);
  }

  /** Handles an event and runs a scheduling cycle if one is needed and due. Returns the effects for the caller. */
  handle(event: Event, now: Timestamp): Effect[] {
    this.dispatch(event, now);
    // While records are loaded, each page changes the input of the next cycle, so one cycle after the last is enough.
    if (event.kind !== 'page-loaded' && this.isCycleDue(now)) runSchedulingCycle(this.state, now);
    const { effects } = this.state;
    this.state.effects = [];
    return effects;
  }

  /** Records how long the caller took to handle an event with a scheduling cycle: the core itself reads no clock. */
  recordCycleDuration(duration: Duration): void {
    const { scheduling } = this.state;
    scheduling.averageCycleDuration = (scheduling.averageCycleDuration + duration) / 2n;
  }

  /** Records how late a timer of the process fired. */
  recordEventLoopLag(lag: Duration): void {
    recordEventLoopLag(this.state.term, lag);
  }

  /** Returns the response to a heartbeat that was just handled. */
  answerHeartbeat(heartbeat: Heartbeat, now: Timestamp): HeartbeatAnswer {
    const commands = commandsForHeartbeat(this.state, heartbeat, now);
    return { fencingToken: this.fencingTokenFor(heartbeat.machineName), commands };
  }

  /** Returns the fencing token of commands to a machine's worker. */
  fencingTokenFor(machineName: string): number {
    return fencingTokenFor(this.state, machineName);
  }

  /** Returns the next transaction to commit, or null if there is none. */
  nextTransaction(now: Timestamp): Transaction | null {
    return nextTransaction(this.state, now.monotonic);
  }

  private isCycleDue(now: Timestamp): boolean {
    const { scheduling, term } = this.state;
    return (
      scheduling.cycleNeeded &&
      now.monotonic - scheduling.lastCycleAt >= minCycleInterval(this.state) &&
      mayStartTasks(term.confirmedAt, now.monotonic)
    );
  }

  // One case with a plain call for each kind of event. A table of handlers would lose the check that none is missing.
  // eslint-disable-next-line complexity
  private dispatch(event: Event, now: Timestamp): void {
    const { state } = this;
    switch (event.kind) {
      case 'job-changed':
        return onJobChanged(state, event.id, event.record, event.modRevision, now);
      case 'job-finished':
        return onJobFinished(state, event.id, event.status, now);
      case 'page-loaded':
        return onPageLoaded(state, event.id, event.entries, event.modRevision, now);
      case 'load-completed':
        return splitOversizedPages(state, now.monotonic);
      case 'heartbeat':
        return onWorkerHeartbeat(state, event.heartbeat, now);
      case 'commands-answered':
        return onCommandsAnswered(state, event, now);
      case 'transaction-committed':
        onTransactionCommitted(state, event.transaction, event.modRevision, now);
        return sendCommittedStarts(state, event.transaction, now);
      case 'leadership-confirmed':
        return confirmLeadership(state.term, event.confirmedAt, event.revision);
      case 'token-advanced':
        return advanceFencingToken(state.term, event.fencingToken, now.monotonic);
      case 'machine-types':
        return updateMachineTypes(state, event.types);
      case 'instance-inventory':
        return reconcileInventory(state, event.machines, event.requestedAt, now);
      case 'scale-out-started':
        return onScaleOutStarted(state, event.name, event.request, now);
      case 'scale-out-answered':
        return onScaleOutAnswered(state, event.name, event.machines, now);
      case 'scale-in-answered':
        return onScaleInAnswered(state, event.machines, event.succeeded, now);
      case 'images-observed':
        return onImagesObserved(state, event.sightings, now);
      case 'tick':
        return this.maintenance.run(now);
    }
  }
}
