/**
 * @file The zone policy of the feature zone-recovery: lost zones are evacuated, and return in steps. It decides only;
 * reading clocks, storing its record and assigning tasks are the leader's.
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

/** A job that has been pending for so long is assigned wherever it fits, so that the largest jobs start in time. */
const MAX_PENDING: Duration = seconds(150);
/** A zone counts as responsive from this share of its machines on. */
const RESPONSIVE_SHARE = 0.5;

const isResponsive = (zone: ZoneObservation): boolean =>
  zone.known > 0 && zone.responsive >= zone.known * RESPONSIVE_SHARE;

const conditionsFor = (zone: ZoneObservation, fleet: FleetObservation): FleetConditions => ({
  otherZonesResponsive: fleet.zones.some((other) => other !== zone && isResponsive(other)),
  leadershipConfirmed: fleet.leadershipConfirmed,
  replicasMissing: fleet.replicasMissing,
  slowestStart: fleet.slowestStart,
});

/** Decides by the health of zones which machines take which tasks. */
export class ZoneRecovery implements ZonePolicy {
  private zones = new Map<string, ZoneHealth>();
  /** Machines of returning zones that take ordinary tasks. */
  private readonly admittedMachines = new Map<string, ReadonlySet<string>>();
  /** What of the zones was last to be stored, or restored, as text to compare with. */
  private recordedState = '[]';
  private hasUnsavedRecord = false;
  private lastObservedAt: Timestamp | null = null;

  constructor(private readonly timing: ZoneTiming) {}

  /** The phase of a zone; one never seen is healthy. */
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

  /** The first machines by name, so that the same ones are admitted in whatever order they are observed. */
  private updateAdmittedMachines(zone: ZoneObservation, health: ZoneHealth): void {
    if (health.phase !== 'returning') {
      this.admittedMachines.delete(zone.zone);
      return;
    }
    const names = [...zone.responsiveMachines].sort().slice(0, health.admitted);
    this.admittedMachines.set(zone.zone, new Set(names));
  }

  private updateRecord(now: Timestamp): void {
    // Compared without the times, which differ each time they are converted.
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
