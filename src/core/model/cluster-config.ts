import type { Duration } from './time.js';

/** A team with its guarantee and its limit; 0: none. */
export interface Team {
  readonly name: string;
  readonly fairShareCpus: number;
  readonly fairShareGpus: number;
  readonly cpuQuota: number;
  readonly gpuQuota: number;
}

/** An aim of the operators for a class of jobs. */
export interface ServiceLevelObjective {
  readonly kind: string;
  readonly class: string;
  readonly threshold: Duration | null;
  readonly share: number;
}

/** The platform's facts as the core uses them. */
export interface ClusterConfig {
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly heartbeatInterval: Duration;
  readonly workerLease: Duration;
  readonly gangStartTimeout: Duration;
  readonly gangPeerTimeout: Duration;
  readonly cancellationDeadline: Duration;
  readonly maxTransactionOperations: number;
  /** The most that one value in the state service may take. */
  readonly maxValueBytes: number;
  readonly inventoryLag: Duration;
}
