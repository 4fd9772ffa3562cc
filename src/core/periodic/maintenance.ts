/**
 * @file Periodic work: lease expiry, failure detection, fencing, advances of the fencing token and fleet sizing. It
 * owns the times of the last runs; the modules that it calls do the work.
 */
import { sizeFleet } from '../capacity/fleet-sizing.js';
import { logFleetSummary } from '../capacity/fleet-summary.js';
import { requestScaleIn } from '../capacity/scale-in-requests.js';
import { logMissedDeadlines } from '../jobs/dependencies.js';
import { type Duration, type MonotonicTime, type Timestamp, seconds } from '../model/time.js';
import { evictFinishedJobs } from '../persistence/finished-jobs.js';
import { probeForAbsence } from '../reconciliation/absence-proof.js';
import { findUnresponsiveMachines, isCutOffFromWorkers } from '../reconciliation/failure-detector.js';
import { probeForTermToken, requestTokenAdvance } from '../reconciliation/fencing.js';
import { handlePreemptionNotices } from '../reconciliation/preemption-notices.js';
import { liftUnfoundedQuarantines } from '../reconciliation/quarantine.js';
import { probeUnreachableMachines } from '../reconciliation/reachability.js';
import { expireLeases } from '../reconciliation/worker-leases.js';
import { observeZones } from '../scheduling/zone-observation.js';
import type { ClusterState } from '../state/cluster-state.js';
import { mayStartTasks } from '../state/leadership-timing.js';
import { isOverloaded } from '../state/overload.js';

/** Shortest time between two sweeps. Each sweep visits all machines, so it runs at most a few times per second. */
const SWEEP_INTERVAL = seconds(0.4);

/** How often slow changes are checked. */
const SLOW_CHECK_INTERVAL = seconds(1);

/** How often the fleet is sized. */
const FLEET_SIZING_INTERVAL = seconds(2);

/** How often an overloaded process sizes the fleet: after all other work, but still regularly. */
const OVERLOADED_FLEET_SIZING_INTERVAL = seconds(6);

/** How often a summary of the fleet is logged. */
const FLEET_SUMMARY_INTERVAL = seconds(10);

/** Runs each kind of periodic work when it is due. */
export class PeriodicMaintenance {
  private sweptAt: MonotonicTime = 0n;
  private slowChecksAt: MonotonicTime = 0n;
  private fleetSizedAt: MonotonicTime = 0n;
  private fleetSummaryAt: MonotonicTime = 0n;

  constructor(private readonly state: ClusterState) {}

  /** Runs the work that is due, in a fixed order. */
  run(now: Timestamp): void {
    if (now.monotonic - this.sweptAt >= SWEEP_INTERVAL) this.sweep(now);
    requestTokenAdvance(this.state, now);
    if (now.monotonic - this.fleetSizedAt > this.fleetSizingInterval() && this.mayStartTasks(now)) {
      this.fleetSizedAt = now.monotonic;
      sizeFleet(this.state, now);
    }
  }

  private sweep(now: Timestamp): void {
    this.sweptAt = now.monotonic;
    // After a pause of the process every worker looks unresponsive, so failures are not detected before the state store
    // has confirmed the leadership again.
    if (this.mayStartTasks(now)) this.detectFailures(now);
    if (now.monotonic - this.fleetSummaryAt >= FLEET_SUMMARY_INTERVAL) {
      this.fleetSummaryAt = now.monotonic;
      logFleetSummary(this.state, now);
    }
    probeForTermToken(this.state, now);
    probeForAbsence(this.state, now);
    if (now.monotonic - this.slowChecksAt >= SLOW_CHECK_INTERVAL) this.runSlowChecks(now);
  }

  private detectFailures(now: Timestamp): void {
    const { state } = this;
    expireLeases(state, now);
    if (isCutOffFromWorkers(state, now))
      state.effects.push({ kind: 'step-down', reason: 'cut off from workers' });
    handlePreemptionNotices(state, now);
    probeUnreachableMachines(state, now);
    requestScaleIn(state, findUnresponsiveMachines(state, now), 'unresponsive with replicas');
  }

  private runSlowChecks(now: Timestamp): void {
    const { state } = this;
    this.slowChecksAt = now.monotonic;
    // No event reports that a retry delay ended, a machine became suspected or pending work became urgent.
    state.scheduling.cycleNeeded = state.scheduling.cycleNeeded || state.jobs.pending.size > 0;
    liftUnfoundedQuarantines(state);
    evictFinishedJobs(state, now.monotonic);
    logMissedDeadlines(state, now);
    observeZones(state, now);
  }

  private fleetSizingInterval(): Duration {
    return isOverloaded(this.state.term) ? OVERLOADED_FLEET_SIZING_INTERVAL : FLEET_SIZING_INTERVAL;
  }

  private mayStartTasks(now: Timestamp): boolean {
    return mayStartTasks(this.state.term.confirmedAt, now.monotonic);
  }
}
