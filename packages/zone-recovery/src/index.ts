/** Lost zones are evacuated, and come back in steps. */
import type {
  FleetObservation,
  ZoneChange,
  ZoneObservation,
  ZonePolicy,
  ZoneAdmissionRequest,
} from '../../../src/core/model/zone-policy.js';
import { seconds, type Timestamp, type Duration } from '../../../src/core/model/time.js';
import { newZone, nextHealth, type ZoneHealth, type ZonePhase, type ZoneTiming } from './zone-health.js';
import { readZones, writeZones } from './zone-record.js';

export { holdDown, LONGEST_HOLD, newZone, nextHealth } from './zone-health.js';
export type { Surroundings, ZoneHealth, ZonePhase, ZoneTiming } from './zone-health.js';
export { readZones, writeZones, type ZonesRecord } from './zone-record.js';

/** Work that has waited for so long goes where it fits, whatever the zone's state: the largest jobs begin in time. */
const PATIENCE: Duration = seconds(150);
/** Another zone counts as heard from this share of its machines on. */
const HEARD_SHARE = 0.5;

const isHeard = (seen: ZoneObservation): boolean =>
  seen.known > 0 && seen.responsive >= seen.known * HEARD_SHARE;

/** Decides by the health of zones which machines take what. */
export class ZoneRecovery implements ZonePolicy {
  private zones = new Map<string, ZoneHealth>();
  /** Machines of returning zones that take ordinary work. */
  private readonly admittedMachines = new Map<string, ReadonlySet<string>>();
  /** What was last kept, or found. */
  private record = '[]';
  private unkept = false;
  private lastSeen: Timestamp | null = null;

  constructor(private readonly timing: ZoneTiming) {}

  /** The phase of a zone; one never seen is healthy. */
  phaseOf(zone: string): ZonePhase {
    return this.zones.get(zone)?.phase ?? 'healthy';
  }

  observe(seen: FleetObservation, now: Timestamp): readonly ZoneChange[] {
    this.lastSeen = now;
    const changes: ZoneChange[] = [];
    for (const zone of seen.zones) {
      const before = this.zones.get(zone.zone) ?? newZone(now.monotonic);
      const around = {
        othersHeard: seen.zones.some((other) => other !== zone && isHeard(other)),
        inContact: seen.leadershipConfirmed,
        replicasMissing: seen.replicasMissing,
        startTakes: seen.slowestStart,
      };
      const { health, why: reason } = nextHealth(before, zone, around, this.timing, now.monotonic);
      this.zones.set(zone.zone, health);
      this.admit(zone, health);
      if (reason !== null) changes.push({ zone: zone.zone, from: before.phase, to: health.phase, reason });
    }
    this.noteRecord(now);
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
        return request.pendingFor >= PATIENCE;
      case 'returning':
        if (request.kind === 'service' || request.pendingFor >= PATIENCE) return true;
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
    if (!this.unkept || this.lastSeen === null) return null;
    this.unkept = false;
    return writeZones(this.zones, this.lastSeen);
  }

  restore(record: unknown, now: Timestamp): void {
    const zones = readZones(record, now);
    if (zones !== null) this.zones = zones;
    this.noteRecord(now);
    this.unkept = false;
  }

  /** The first machines by name: the same ones again and again, whatever order they are seen in. */
  private admit(seen: ZoneObservation, health: ZoneHealth): void {
    if (health.phase !== 'returning') {
      this.admittedMachines.delete(seen.zone);
      return;
    }
    const names = [...seen.responsiveMachines].sort().slice(0, health.admitted);
    this.admittedMachines.set(seen.zone, new Set(names));
  }

  private noteRecord(now: Timestamp): void {
    // Without the times, which differ each time they are converted.
    const { zones } = writeZones(this.zones, now);
    const record = JSON.stringify(
      zones.map(({ zone, phase, losses, admitted }) => [zone, phase, losses, admitted]),
    );
    if (record === this.record) return;
    this.record = record;
    this.unkept = true;
  }
}
