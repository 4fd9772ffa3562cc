/** @file What a policy for lost and returning zones is told, and what it decides. Without one, zones are all alike. */
import type { JobKind, Priority } from './job.js';
import type { Timestamp, Duration } from './time.js';

/** What the owner sees of the machines of one zone at a moment. */
export interface ZoneObservation {
  readonly zone: string;
  /** Machines that have reported in this term and are not proven gone. */
  readonly known: number;
  /** Those of them that were heard lately. */
  readonly responsive: number;
  /** GPUs of the machines that were heard lately. */
  readonly gpus: number;
  /** Names of the machines that were heard lately. */
  readonly responsiveMachines: readonly string[];
}

/** What the owner sees of all zones at a moment. */
export interface FleetObservation {
  readonly zones: readonly ZoneObservation[];
  /** The state service has lately confirmed this owner. */
  readonly leadershipConfirmed: boolean;
  /** Replicas of services that are wanted and have no running place. */
  readonly replicasMissing: number;
  /** How long the slowest image now being fetched takes, with its start. */
  readonly slowestStart: Duration;
}

/** What decides whether a job may be placed on a machine of a zone that was lost. */
export interface ZoneAdmissionRequest {
  readonly kind: JobKind;
  readonly priority: Priority;
  /** The job may run in this zone alone. */
  readonly restrictedToZone: boolean;
  /** For how long the job has waited to begin; nothing if it has begun before. */
  readonly pendingFor: Duration;
}

/** One change of a zone's state, for the log. */
export interface ZoneChange {
  readonly zone: string;
  readonly from: string;
  readonly to: string;
  readonly reason: string;
}

/** Decides which machines of lost and returning zones take what. It reads no clock and sends nothing. */
export interface ZonePolicy {
  /** Takes in what is seen now; yields the changes of state that follow. */
  observe(seen: FleetObservation, now: Timestamp): readonly ZoneChange[];
  /** Whether a machine of the zone takes work that asks so. */
  admits(zone: string, machine: string, request: ZoneAdmissionRequest): boolean;
  /** Whether machines there should neither be waited for nor rented. */
  isUnavailable(zone: string): boolean;
  /** Whether replicas there should be prepared for elsewhere: they may turn out to be lost. */
  isEvacuating(zone: string): boolean;
  /** What the next owner must know, to be kept; null: nothing has changed since it was last asked for. */
  takeUnsavedRecord(): unknown;
  /** Takes over what an earlier owner kept. What cannot be read is passed over, and a cautious start made. */
  restore(record: unknown, now: Timestamp): void;
}
