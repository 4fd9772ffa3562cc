/** @file The interface of a policy for lost and returning zones. Without a policy all zones are treated alike. */
import type { JobKind, Priority } from './job.js';
import type { Timestamp, Duration } from './time.js';

/** What the leader observes of the machines of one zone at a moment. */
export interface ZoneObservation {
  readonly zone: string;
  /** Machines that have sent a heartbeat in this term and are not proven terminated. */
  readonly known: number;
  /** Those of them whose last heartbeat is recent. */
  readonly responsive: number;
  /** GPUs of the responsive machines. */
  readonly gpus: number;
  /** Names of the responsive machines. */
  readonly responsiveMachines: readonly string[];
}

/** What the leader observes of all zones at a moment. */
export interface FleetObservation {
  readonly zones: readonly ZoneObservation[];
  /** The state store has recently confirmed this leader. */
  readonly leadershipConfirmed: boolean;
  /** Replicas of services that are wanted and not running. */
  readonly replicasMissing: number;
  /** How long the slowest start now under way takes, with its image fetch. */
  readonly slowestStart: Duration;
}

/** What decides whether a task may be assigned to a machine of a zone that was lost. */
export interface ZoneAdmissionRequest {
  readonly kind: JobKind;
  readonly priority: Priority;
  /** The job may run in this zone only. */
  readonly restrictedToZone: boolean;
  /** For how long the job has been pending; 0 if it has run before. */
  readonly pendingFor: Duration;
}

/** One change of a zone's state, for the log. */
export interface ZoneChange {
  readonly zone: string;
  readonly from: string;
  readonly to: string;
  readonly reason: string;
}

/** Decides which machines of lost and returning zones take which tasks. It reads no clock and sends nothing. */
export interface ZonePolicy {
  /** Evaluates an observation; returns the changes of state that follow from it. */
  observe(observation: FleetObservation, now: Timestamp): readonly ZoneChange[];
  /** Whether a machine of the zone may take the requested work. */
  admits(zone: string, machine: string, request: ZoneAdmissionRequest): boolean;
  /** Whether machines there should neither be waited for nor requested. */
  isUnavailable(zone: string): boolean;
  /** Whether replacements for replicas there should be prepared in other zones: they may turn out to be lost. */
  isEvacuating(zone: string): boolean;
  /** What the next leader must know, to be stored; null: nothing has changed since the last call. */
  takeUnsavedRecord(): unknown;
  /** Takes over what a previous leader stored. What cannot be decoded is skipped, and a cautious state assumed. */
  restore(record: unknown, now: Timestamp): void;
}
