/**
 * @file The zone policy of the feature zone-recovery: lost zones are evacuated and return in steps. The policy only
 * makes decisions. The leader reads the clock, stores the record and assigns the tasks.
 */
import type {
  FleetObservation,
  ZoneAdmissionRequest,
  ZoneChange,
  ZoneObservation,
  ZonePolicy,
} from '../../../src/core/model/zone-policy.js';
import { seconds, type Duration, type Timestamp } from '../../../src/core/model/time.js';
import {
  newZone,
  nextHealth,
  type FleetConditions,
  type ZoneHealth,
  type ZonePhase,
  type ZoneTiming,
} from './zone-health.js';
import { decodeZones, encodeZones } from './zone-record.js';

/** A job pending for at least this long may use any zone that is not lost, so that the largest jobs start in time. */
const MAX_PENDING: Duration = seconds(150);
/** A zone is responsive if at least this share of its machines is. */
const RESPONSIVE_SHARE = 0.5;

const isResponsive = (zone: ZoneObservation): boolean =>
  zone.known > 0 && zone.responsive >= zone.known * RESPONSIVE_SHARE;

const conditionsFor = (zone: ZoneObservation, fleet: FleetObservation): FleetConditions => ({
  otherZonesResponsive: fleet.zones.some((other) => other !== zone && isResponsive(other)),
  leadershipConfirmed: fleet.leadershipConfirmed,
  replicasMissing: fleet.replicasMissing,
  slowestStart: fleet.slowestStart,
});

/** Decides from the health of zones which machines accept which tasks. */
export class ZoneRecovery implements ZonePolicy {
  private zones = new Map<string, ZoneHealth>();
  /** Names of the machines that accept ordinary tasks, by returning zone. */
  private readonly admittedMachines = new Map<string, ReadonlySet<string>>();
  /** The zone state that was last marked as unsaved or was restored, as JSON for comparison. */
  private recordedState = '[]';
  private hasUnsavedRecord = false;
  private lastObservedAt: Timestamp | null = null;

  constructor(private readonly timing: ZoneTiming) {}

  /** Returns the phase of a zone. A zone that was never observed is healthy. */
  phaseOf(zone: string): ZonePhase {
    return this.zones.get(zone)?.phase ?? 'healthy';
  }

  observe(fleet: FleetObservation, now: Timestamp): readonly ZoneChange[] {
    this.lastObservedAt = now;
    const changes: ZoneChange[] = [];
    for (const zone of fleet.zones) {
      const before = this.zones.get(zone.zone) ?? newZone(now.monotonic);
      const conditions = conditionsFor(zone, fleet);
      const { health, reason } = nextHealth(before, zone, conditions, this.timing, now.monotonic);
      this.zones.set(zone.zone, health);
      this.updateAdmittedMachines(zone, health);
      if (reason !== null) changes.push({ zone: zone.zone, from: before.phase, to: health.phase, reason });
    }
    this.updateRecord(now);
    return changes;
  }

  admits(zone: string, machine: string, request: ZoneAdmissionRequest): boolean {
    switch (this.phaseOf(zone)) {
      case 'healthy':
      case 'suspect':
        return true;
      case 'lost':
        return false;
      case 'held-down':
        return request.pendingFor >= MAX_PENDING;
      case 'returning':
        if (request.kind === 'service' || request.pendingFor >= MAX_PENDING) return true;
        return this.admittedMachines.get(zone)?.has(machine) === true;
    }
  }

  isUnavailable(zone: string): boolean {
    const phase = this.phaseOf(zone);
    return phase === 'lost' || phase === 'held-down';
  }

  isEvacuating(zone: string): boolean {
    const phase = this.phaseOf(zone);
    return phase === 'suspect' || phase === 'lost';
  }

  takeUnsavedRecord(): unknown {
    if (!this.hasUnsavedRecord || this.lastObservedAt === null) return null;
    this.hasUnsavedRecord = false;
    return encodeZones(this.zones, this.lastObservedAt);
  }

  restore(record: unknown, now: Timestamp): void {
    const zones = decodeZones(record, now);
    if (zones !== null) this.zones = zones;
    this.updateRecord(now);
    this.hasUnsavedRecord = false;
  }

  /** Admits the first machines by name, so that the choice does not depend on the order of the observation. */
  private updateAdmittedMachines(zone: ZoneObservation, health: ZoneHealth): void {
    if (health.phase !== 'returning') {
      this.admittedMachines.delete(zone.zone);
      return;
    }
    const names = [...zone.responsiveMachines].sort().slice(0, health.admitted);
    this.admittedMachines.set(zone.zone, new Set(names));
  }

  private updateRecord(now: Timestamp): void {
    // States are compared without their times, because each conversion to wall time yields slightly different values.
    const state = JSON.stringify(
      encodeZones(this.zones, now).zones.map(({ zone, phase, losses, admitted }) => [
        zone,
        phase,
        losses,
        admitted,
      ]),
    );
    if (state === this.recordedState) return;
    this.recordedState = state;
    this.hasUnsavedRecord = true;
  }
}
