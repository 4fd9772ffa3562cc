/** @file The facts of the platform, as the core uses them. They are fixed for the life of the process. */
import type { Duration } from './time.js';

/** A team with its fair share (a guarantee) and its quota (a limit); 0: none. */
export interface Team {
  readonly name: string;
  readonly fairShareCpus: number;
  readonly fairShareGpus: number;
  readonly cpuQuota: number;
  readonly gpuQuota: number;
}

/** A service-level objective of the operators for a class of jobs. */
export interface ServiceLevelObjective {
  readonly kind: string;
  readonly class: string;
  /** The span that counts as kept; null: the objective's kind needs none. */
  readonly threshold: Duration | null;
  /** The share of jobs for which the threshold is to be kept. */
  readonly share: number;
}

/** The platform's facts. */
export interface ClusterConfig {
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly heartbeatInterval: Duration;
  /** How long a worker keeps its tasks after the last answered heartbeat. */
  readonly workerLease: Duration;
  /** A gang's task that waits longer for the other tasks to start exits. */
  readonly gangStartTimeout: Duration;
  /** Within this span a gang's tasks notice that one is lost, and within it all must receive a stop command. */
  readonly gangPeerTimeout: Duration;
  /** Within this span of a confirmed cancellation every task of the job has to be gone. */
  readonly cancellationDeadline: Duration;
  /** The most writes that one transaction of the state store takes. */
  readonly maxTransactionOperations: number;
  /** The most bytes that one value in the state store takes. */
  readonly maxValueBytes: number;
  /** How far the cloud's inventory usually lags; at times it is up to twice that. */
  readonly inventoryLag: Duration;
}
