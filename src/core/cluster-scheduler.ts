import { forecastDemand } from './capacity/demand-forecast.js';
import { onJobFinished, logMissedDeadlines } from './jobs/dependencies.js';
import { evictFinishedJobs } from './persistence/finished-jobs.js';
import { chooseDrainingMachines, machinesToRelease } from './capacity/scale-in.js';
import { logScaleOut, onScaleOutRefused, planScaleOut } from './capacity/scale-out.js';
import { assignmentsOf } from './assignments/assignments.js';
import { getOrAddMachine } from './machines/machine-registry.js';
import { onJobChanged, onPageLoaded } from './persistence/recovery.js';
import {
  sendStarts,
  onCommandsAnswered,
  commandsFor,
  dropCompletedForgets,
} from './commands/worker-commands.js';
import { fenceMachines, tokenAdvanceReason } from './reconciliation/fencing.js';
import { onFirstHeartbeat, onHeartbeat } from './reconciliation/heartbeats.js';
import { reconcileInventory, onMachinesReleased } from './reconciliation/instance-inventory.js';
import { expireLeases } from './reconciliation/worker-leases.js';
import { recordImageUse } from './machines/image-cache.js';
import { freeOn, isUsable } from './machines/free-resources.js';
import type { ClusterConfig } from './model/cluster-config.js';
import type { Assignment } from './model/assignment.js';
import type { Job, JobRecord } from './model/job.js';
import type { OperatorSettings } from './model/operator-settings.js';
import type { CloudInstance, MachineType } from './model/machine.js';
import type { Heartbeat } from './model/heartbeat.js';
import { nextTransaction, onCommitted, type Transaction } from './persistence/transactions.js';
import { splitOversizedPages, type PageEntry } from './records/record-pages.js';
import { mayStartTasks } from './state/leadership-timing.js';
import { minCycleInterval } from './scheduling/cycle-interval.js';
import { runSchedulingCycle } from './scheduling/scheduling-cycle.js';
import {
  handlePreemptionNotices,
  isCutOffFromWorkers,
  probeUnreachableMachines,
  findUnresponsiveMachines,
} from './reconciliation/failure-detector.js';
import { seconds, type Timestamp, type Duration, type MonotonicTime } from './model/time.js';
import type { ZonePolicy } from './model/zone-policy.js';
import { displacedReplicas } from './scheduling/displaced-replicas.js';
import { observeZones } from './scheduling/zone-observation.js';
import { newClusterState, type ClusterState } from './state/cluster-state.js';
import { emitLog } from './state/log-effects.js';
import type { Effect } from './model/effects.js';
import type { WorkerCommand } from './model/worker-command.js';
import type { ScaleOutRequest } from './model/scale-out.js';
import type { LeadershipTerm } from './state/term-state.js';
import { isOverloaded } from './state/overload.js';

/** What can happen to an owner. Each event is handled alone and yields what is to be done outside. */
export type Event =
  | {
      readonly kind: 'job-changed';
      readonly id: string;
      readonly record: JobRecord;
      readonly modRevision: number;
    }
  /** A job that had ended before the term, and of which nothing is placed. */
  | { readonly kind: 'job-finished'; readonly id: string; readonly status: 'done' | 'cancelled' }
  | {
      readonly kind: 'page-loaded';
      readonly id: number;
      readonly entries: readonly PageEntry[];
      readonly modRevision: number;
    }
  /** All that was recorded before the term has been told. */
  | { readonly kind: 'load-completed' }
  | { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
  | {
      readonly kind: 'commands-answered';
      readonly machineName: string;
      readonly agentEpoch: number;
      readonly fencingToken: number;
      readonly commands: readonly WorkerCommand[];
      readonly outcome: 'executed' | 'refused' | 'unknown';
      readonly heartbeat: Heartbeat | null;
    }
  | {
      readonly kind: 'transaction-committed';
      readonly transaction: Transaction;
      readonly modRevision: number;
    }
  | { readonly kind: 'leadership-confirmed'; readonly confirmedAt: MonotonicTime }
  | { readonly kind: 'token-advanced'; readonly fencingToken: number }
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  /** A whole list of the cloud's, and when the first request for it was sent. */
  | {
      readonly kind: 'instance-inventory';
      readonly machines: readonly CloudInstance[];
      readonly requestedAt: MonotonicTime;
    }
  | { readonly kind: 'scale-out-started'; readonly name: string; readonly request: ScaleOutRequest }
  | {
      readonly kind: 'scale-out-answered';
      readonly name: string;
      readonly machines: readonly string[] | null;
    }
  | { readonly kind: 'scale-in-answered'; readonly machines: readonly string[]; readonly succeeded: boolean }
  | {
      readonly kind: 'images-observed';
      readonly sightings: readonly {
        readonly machineName: string;
        readonly image: string;
        readonly sizeGb: number;
      }[];
    }
  | { readonly kind: 'tick' };

const SWEEP = seconds(0.4);
/** Renting and returning come last while the process is behind, but they come. */
const FLEET_EVERY = seconds(2);
const FLEET_BEHIND = seconds(6);

/** The owner of a part: the whole of its knowledge, and the one place where events become effects. */
export class ClusterScheduler {
  readonly state: ClusterState;
  private fleetAt: MonotonicTime = 0n;
  private surveyAt: MonotonicTime = 0n;
  private sweptAt: MonotonicTime = 0n;
  private lookedAt: MonotonicTime = 0n;

  constructor(
    config: ClusterConfig,
    settings: OperatorSettings,
    term: LeadershipTerm,
    zonePolicy: ZonePolicy | null = null,
  ) {
    this.state = newClusterState(config, settings, term, zonePolicy);
  }

  handle(event: Event, now: Timestamp): Effect[] {
    const state = this.state;
    switch (event.kind) {
      case 'job-changed':
        onJobChanged(state, event.id, event.record, event.modRevision, now);
        break;
      case 'job-finished':
        onJobFinished(state, event.id, event.status, now);
        break;
      case 'page-loaded':
        onPageLoaded(state, event.id, event.entries, event.modRevision, now);
        break;
      case 'load-completed':
        splitOversizedPages(state, now.monotonic);
        break;
      case 'heartbeat':
        onHeartbeat(state, event.heartbeat, now);
        onFirstHeartbeat(state, event.heartbeat.machineName, now);
        dropCompletedForgets(state, event.heartbeat);
        break;
      case 'commands-answered':
        onCommandsAnswered(
          state,
          event.machineName,
          event.agentEpoch,
          event.fencingToken,
          event.commands,
          event.outcome,
          event.heartbeat !== null,
        );
        if (event.heartbeat !== null) onHeartbeat(state, event.heartbeat, now);
        if (event.outcome === 'refused' && event.heartbeat !== null) this.refence(event.machineName);
        break;
      case 'transaction-committed': {
        onCommitted(state, event.transaction, event.modRevision, now);
        sendStarts(state, this.affected(event.transaction), now);
        break;
      }
      case 'leadership-confirmed':
        if (event.confirmedAt > state.term.confirmedAt) state.term.confirmedAt = event.confirmedAt;
        break;
      case 'token-advanced':
        state.term.fencingToken = event.fencingToken;
        state.term.tokenAdvancedAt = now.monotonic;
        break;
      case 'machine-types':
        for (const type of event.types) state.machines.types.set(type.name, type);
        for (const machine of state.machines.byName.values()) machine.resources = null;
        state.scheduling.cycleNeeded = true;
        break;
      case 'instance-inventory':
        reconcileInventory(state, event.machines, event.requestedAt, now);
        break;
      case 'scale-out-started':
        state.scaling.pending.set(event.name, { request: event.request, requestedAt: now.monotonic });
        break;
      case 'scale-out-answered':
        this.onRented(event.name, event.machines, now);
        break;
      case 'scale-in-answered':
        if (event.succeeded) onMachinesReleased(state, event.machines, now);
        else for (const n of event.machines) this.unreturn(n);
        break;
      case 'images-observed':
        // Not newer than anything a report has told since.
        for (const s of event.sightings) {
          const machine = getOrAddMachine(state, s.machineName, now.monotonic);
          if (!machine.cachedImages.has(s.image))
            recordImageUse(state, machine, { image: s.image, imageGb: s.sizeGb }, state.term.startedAt);
        }
        break;
      case 'tick':
        this.onTick(now);
        break;
    }
    if (
      state.scheduling.cycleNeeded &&
      event.kind !== 'page-loaded' &&
      now.monotonic - state.scheduling.lastCycleAt >= minCycleInterval(state) &&
      mayStartTasks(state.term.confirmedAt, now.monotonic)
    )
      runSchedulingCycle(state, now);
    const effects = state.effects;
    state.effects = [];
    return effects;
  }

  /** Tells how long an event in which a pass was made took: the core itself reads no clock. */
  recordCycleDuration(span: Duration): void {
    const state = this.state;
    state.scheduling.averageCycleDuration = (state.scheduling.averageCycleDuration + span) / 2n;
  }

  /** Tells how much too late a moment came for which the process had asked. */
  recordEventLoopLag(span: Duration): void {
    const state = this.state;
    state.term.eventLoopLag = (state.term.eventLoopLag * 3n + span) / 4n;
  }

  /** The answer to a report that was just taken in. */
  answerHeartbeat(heartbeat: Heartbeat, now: Timestamp): WorkerCommand[] {
    return commandsFor(this.state, heartbeat.machineName, now, heartbeat);
  }

  nextTransaction(now: Timestamp): Transaction | null {
    return nextTransaction(this.state, now.monotonic);
  }

  private onTick(now: Timestamp): void {
    const state = this.state;
    if (now.monotonic - this.sweptAt >= SWEEP) this.sweep(now);
    const reason = tokenAdvanceReason(state, now);
    if (reason !== null) {
      state.term.tokenAdvancedAt = now.monotonic;
      state.effects.push({ kind: 'advance-token', reason });
    }
    if (
      now.monotonic - this.fleetAt > (isOverloaded(state.term) ? FLEET_BEHIND : FLEET_EVERY) &&
      mayStartTasks(state.term.confirmedAt, now.monotonic)
    ) {
      this.fleetAt = now.monotonic;
      this.runFleet(now);
    }
  }

  /** What only time changes: each of these walks all machines, so it is done a few times a second at most. */
  private sweep(now: Timestamp): void {
    const state = this.state;
    this.sweptAt = now.monotonic;
    // After standing still everything looks silent: nothing is judged before a fresh word from the state service.
    if (mayStartTasks(state.term.confirmedAt, now.monotonic)) {
      expireLeases(state, now);
      if (isCutOffFromWorkers(state, now))
        state.effects.push({ kind: 'step-down', reason: 'hardly any worker is heard' });
      handlePreemptionNotices(state, now);
      probeUnreachableMachines(state, now);
      this.giveBack(findUnresponsiveMachines(state, now), 'silent, with replicas on it');
    }
    this.survey(now);
    fenceMachines(state, now);
    if (now.monotonic - this.lookedAt >= seconds(1)) {
      // Pauses end, machines fall silent, waiting work becomes urgent: none of that is an event.
      this.lookedAt = now.monotonic;
      state.scheduling.cycleNeeded = state.scheduling.cycleNeeded || state.jobs.pending.size > 0;
      evictFinishedJobs(state, now.monotonic);
      logMissedDeadlines(state, now);
      observeZones(state, now);
    }
  }

  private runFleet(now: Timestamp): void {
    const state = this.state;
    const blocked = runSchedulingCycle(state, now);
    chooseDrainingMachines(state, blocked, now);
    for (const request of planScaleOut(state, [...displacedJobs(state, now), ...blocked], now)) {
      logScaleOut(state, request);
      state.effects.push({ kind: 'scale-out', request });
    }
    for (const r of machinesToRelease(state, now)) this.giveBack(r.names, r.why);
  }

  private giveBack(names: readonly string[], reason: string): void {
    if (names.length === 0) return;
    for (const n of names) {
      const machine = this.state.machines.byName.get(n);
      if (machine !== undefined) machine.releasing = true;
    }
    this.state.effects.push({ kind: 'scale-in', machineNames: names, reason });
  }

  /** How things stand, for those who read the log. */
  private survey(now: Timestamp): void {
    const state = this.state;
    if (now.monotonic - this.surveyAt < seconds(10)) return;
    this.surveyAt = now.monotonic;
    const count = { ordinary: 0, spot: 0, empty: 0, closed: 0, unusable: 0 };
    let free = 0;
    for (const machine of state.machines.byName.values()) {
      if (machine.agentEpoch === 0) continue;
      if (!isUsable(state, machine, now.monotonic)) count.unusable += 1;
      else {
        count[machine.spot ? 'spot' : 'ordinary'] += 1;
        if (machine.assignments.size === 0) count.empty += 1;
        if (machine.draining) count.closed += 1;
        free += freeOn(state, machine).gpus;
      }
    }
    const ahead = forecastDemand(state, now);
    let tasks = 0;
    let longest: Job | null = null;
    for (const id of state.jobs.pending) {
      const job = state.jobs.byId.get(id);
      if (job === undefined) continue;
      tasks += job.unassignedTasks.size;
      if (longest === null || job.submittedAt < longest.submittedAt) longest = job;
    }
    emitLog(
      state,
      'survey',
      {
        ...count,
        booting: state.machines.booting.size,
        freeGpus: free,
        waitingJobs: state.jobs.pending.size,
        waitingTasks: tasks,
        comes: Math.round(ahead.arriving),
        ends: Math.round(ahead.finishing),
        ...(longest === null ? {} : { longest: longest.spec.id, because: longest.pendingReason }),
      },
      'info',
    );
  }

  private onRented(name: string, machines: readonly string[] | null, now: Timestamp): void {
    const state = this.state;
    const pending = state.scaling.pending.get(name);
    state.scaling.pending.delete(name);
    if (pending === undefined) return;
    if (machines === null || machines.length < pending.request.count)
      onScaleOutRefused(state, pending.request, now);
    const { type, zone, spot } = pending.request;
    for (const name of machines ?? []) {
      const machine = getOrAddMachine(state, name, now.monotonic);
      if (machine.agentEpoch > 0) continue;
      machine.type = type;
      machine.zone = zone;
      machine.spot = spot;
      machine.resources = null;
      state.machines.booting.set(name, { type, zone, spot, since: now.monotonic });
    }
  }

  private unreturn(name: string): void {
    const machine = this.state.machines.byName.get(name);
    if (machine !== undefined) machine.releasing = false;
  }

  /** A machine that refused the token for its session has told its session: it is asked again at once. */
  private refence(machineName: string): void {
    const machine = this.state.machines.byName.get(machineName);
    if (machine === undefined || machine.fenced || machine.agentEpoch === 0) return;
    this.state.effects.push({
      kind: 'send-commands',
      machineName,
      agentEpoch: machine.agentEpoch,
      commands: [],
    });
  }

  private affected(transaction: Transaction): Assignment[] {
    const out: Assignment[] = [];
    for (const id of transaction.guardedJobs.keys()) {
      const job = this.state.jobs.byId.get(id);
      if (job !== undefined && job.status === 'open') out.push(...assignmentsOf(job));
    }
    return out;
  }
}

/** Replicas that may have to start elsewhere, as work that lacks room: machines for them are rented before it is certain. */
const displacedJobs = (state: ClusterState, now: Timestamp): Job[] =>
  displacedReplicas(state, now).map(({ job, tasks }) => ({ ...job, unassignedTasks: new Set(tasks) }));
