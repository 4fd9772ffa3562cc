/** @file Platform configuration that the core uses. It does not change during the life of the process. */
import type { Duration } from './time.js';

/** A team with its fair share (a guarantee) and its quota (a limit). 0 means no guarantee or no limit. */
export interface Team {
  readonly name: string;
  readonly fairShareCpus: number;
  readonly fairShareGpus: number;
  readonly cpuQuota: number;
  readonly gpuQuota: number;
}

/** A service-level objective that the operators set for a class of jobs. */
export interface ServiceLevelObjective {
  readonly kind: string;
  readonly class: string;
  /** Longest span that meets the objective, or null if its kind needs no threshold. */
  readonly threshold: Duration | null;
  /** Share of jobs that are to meet the threshold. */
  readonly share: number;
}

/** Configuration of the platform. */
export interface ClusterConfig {
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly heartbeatInterval: Duration;
  /** How long a worker keeps its tasks running after its last answered heartbeat. */
  readonly workerLease: Duration;
  /** How long a gang's task waits for the other tasks to start before it exits. */
  readonly gangStartTimeout: Duration;
  /** Within this span a gang's tasks detect the loss of one of them, and within it all must receive a stop command. */
  readonly gangPeerTimeout: Duration;
  /** Within this span after a cancellation is confirmed, no task of the job may be running any more. */
  readonly cancellationDeadline: Duration;
  /** Upper bound on the writes in one transaction of the state store. */
  readonly maxTransactionOperations: number;
  /** Upper bound on the size of one value in the state store, in bytes. */
  readonly maxValueBytes: number;
  /** Upper bound on the tasks that are assigned at once, because the leader holds each of them in memory. */
  readonly maxAssignments: number;
  /** Usual lag of the cloud's inventory; at times the lag is up to twice as long. */
  readonly inventoryLag: Duration;
}
