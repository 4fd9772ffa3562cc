/** @file Jobs: as submitted, as recorded in the state store, and as the leader knows them. */
import type { Duration, MonotonicTime } from './time.js';
import { NOT_CONSIDERED_YET, type PendingReason } from './pending-reasons.js';
import type { TaskChunk } from './records.js';

/** How the tasks of a job belong together. */
export type JobKind = 'array' | 'gang' | 'service';

/** Priorities, lowest first. */
export type Priority = 'low' | 'normal' | 'high' | 'production';

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = { low: 0, normal: 1, high: 2, production: 3 };

/** A priority as a number, for comparison. */
export const priorityRank = (priority: Priority): number => PRIORITY_RANKS[priority];

/** A job as its user described it. */
export interface JobSpec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  /** Requested for each task, like `gpus` and `memory` (in GB). */
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  /** Machine types that it may run on; null: any. */
  readonly machineTypes: readonly string[] | null;
  /** The only zone that it may run in; null: any. */
  readonly zone: string | null;
  /** All its tasks have to be in one zone. */
  readonly singleZone: boolean;
  readonly spreadAcrossZones: boolean;
  readonly allowSpot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimatedDuration: Duration;
  readonly checkpointInterval: Duration;
  readonly checkpointDuration: Duration;
  /** From its submission; null: none. */
  readonly deadline: Duration | null;
  /** Jobs that must be done before any task of this one starts. */
  readonly dependencies: readonly string[];
}

/** What the job's record says of its life. */
export type JobStatus = 'open' | 'cancelled' | 'done';

/** A job as the state store holds it. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  readonly status: JobStatus;
}

/** A job as the leader knows it. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  status: JobStatus;
  /** Mod revision of the job's key: every transaction of the leader about this job compares it. */
  modRevision: number;
  readonly chunks: Map<number, TaskChunk>;
  completedCount: number;
  assignedCount: number;
  /** All results are in, and the record that says so is queued for commit. */
  completionRequested: boolean;
  /** Machines on which tasks of this job failed, with how often. */
  readonly failuresByMachine: Map<string, number>;
  failureCount: number;
  /** How often its tasks were stopped for other work. */
  preemptionCount: number;
  /** Not assigned again before this moment (back-off after failures). */
  retryNotBefore: MonotonicTime;
  /** Tasks known to have neither a result nor an assignment; kept in order. */
  readonly unassignedTasks: Set<number>;
  firstSeenAt: MonotonicTime;
  /** When a running replica was last lost: its users are without it from then on. */
  replicaLostAt: MonotonicTime | null;
  pendingReason: PendingReason;
  /** From when it counts as pending: its submission, or the end of the last dependency; null: a dependency is open. */
  readySince: Date | null;
  /** Its own priority, or that of a job that depends on it if that is higher. */
  priority: Priority;
  /** Seconds of wall time by which it should end, for its own deadline and those of the jobs that depend on it. */
  latestCompletion: number;
  /** Inside its team's fair share, together with the team's earlier unfinished jobs. */
  withinFairShare: boolean;
}

/** A job as first read, with none of its tasks known to be assigned or completed. */
export const newJob = (record: JobRecord, modRevision: number, now: MonotonicTime): Job => ({
  spec: record.spec,
  submittedAt: record.submittedAt,
  status: record.status,
  modRevision,
  chunks: new Map(),
  completedCount: 0,
  assignedCount: 0,
  completionRequested: false,
  failuresByMachine: new Map(),
  failureCount: 0,
  preemptionCount: 0,
  retryNotBefore: 0n,
  unassignedTasks: new Set(),
  firstSeenAt: now,
  replicaLostAt: null,
  pendingReason: NOT_CONSIDERED_YET,
  withinFairShare: false,
  readySince: record.submittedAt,
  priority: record.spec.priority,
  latestCompletion: Infinity,
});
