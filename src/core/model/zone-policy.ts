/** @file Interface of a policy for lost and returning zones. Without a policy all zones are treated alike. */
import type { JobKind, Priority } from './job.js';
import type { Timestamp, Duration } from './time.js';

/** The leader's observation of the machines in one zone at one time. */
export interface ZoneObservation {
  readonly zone: string;
  /** Number of machines, neither being released nor failed, that sent a heartbeat in this term or have assignments. */
  readonly known: number;
  /** Number of those machines whose last heartbeat is recent. */
  readonly responsive: number;
  /** GPUs of the responsive machines. */
  readonly gpus: number;
  /** Names of the responsive machines. */
  readonly responsiveMachines: readonly string[];
}

/** The leader's observation of all zones at one time. */
export interface FleetObservation {
  readonly zones: readonly ZoneObservation[];
  /** True if the state store has recently confirmed the leadership and workers have had time to find this leader. */
  readonly leadershipConfirmed: boolean;
  /** Number of service replicas that should be running and are not. */
  readonly replicasMissing: number;
  /** Duration of the slowest start in progress, including its image fetch. */
  readonly slowestStart: Duration;
}

/** Properties that decide whether a task may be assigned to a machine in a zone that was lost. */
export interface ZoneAdmissionRequest {
  readonly kind: JobKind;
  readonly priority: Priority;
  /** True if the job may run in this zone only. */
  readonly restrictedToZone: boolean;
  /** How long the job has been pending; 0 if it has run before. */
  readonly pendingFor: Duration;
}

/** One change of a zone's state, for the log. */
export interface ZoneChange {
  readonly zone: string;
  readonly from: string;
  readonly to: string;
  readonly reason: string;
}

/** Decides which tasks may run on machines in lost and returning zones. It reads no clock and sends nothing. */
export interface ZonePolicy {
  /** Evaluates an observation and returns the resulting changes of zone states. */
  observe(observation: FleetObservation, now: Timestamp): readonly ZoneChange[];
  /** Whether the machine in that zone may run the task of the request. */
  admits(zone: string, machine: string, request: ZoneAdmissionRequest): boolean;
  /** Whether the scheduler should neither wait for machines in the zone nor request any there. */
  isUnavailable(zone: string): boolean;
  /**
   * Whether replacements for the zone's service replicas should be prepared in other zones, because those replicas may
   * be lost.
   */
  isEvacuating(zone: string): boolean;
  /** Returns the record to store for the next leader, or null if nothing has changed since the last call. */
  takeUnsavedRecord(): unknown;
  /** Restores a previous leader's record. Skips what cannot be decoded and assumes a cautious state for it. */
  restore(record: unknown, now: Timestamp): void;
}
