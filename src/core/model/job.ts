/** @file Jobs: as submitted, as recorded in the state store, and as held in the leader's memory. */
import type { Duration, MonotonicTime } from './time.js';
import { NOT_CONSIDERED_YET, type PendingReason } from './pending-reasons.js';
import type { TaskChunk } from './records.js';
import { TaskSet } from './task-set.js';

/** How the tasks of a job relate to each other. */
export type JobKind = 'array' | 'gang' | 'service';

/** Priorities, lowest first. */
export type Priority = 'low' | 'normal' | 'high' | 'production';

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = { low: 0, normal: 1, high: 2, production: 3 };

/** Returns a priority as a number for comparison; a higher number is a higher priority. */
export const priorityRank = (priority: Priority): number => PRIORITY_RANKS[priority];

/** A job as its user described it. */
export interface JobSpec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  /** CPUs requested for each task. `gpus` and `memory` (in GB) are also per task. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  /** Machine types on which the job may run, or null for any. */
  readonly machineTypes: readonly string[] | null;
  /** The only zone in which the job may run, or null for any. */
  readonly zone: string | null;
  /** True if all tasks must run in the same zone. */
  readonly singleZone: boolean;
  readonly spreadAcrossZones: boolean;
  readonly allowSpot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimatedDuration: Duration;
  readonly checkpointInterval: Duration;
  readonly checkpointDuration: Duration;
  /** Deadline counted from the submission, or null if there is none. */
  readonly deadline: Duration | null;
  /** Ids of the jobs that must be done before any task of this job starts. */
  readonly dependencies: readonly string[];
}

/** Status in a job's record. */
export type JobStatus = 'open' | 'cancelled' | 'done';

/** A job as recorded in the state store. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  readonly status: JobStatus;
}

/** The leader's in-memory state of a job. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  status: JobStatus;
  /** Mod revision of the job's key. Every transaction of the leader that concerns this job compares it. */
  modRevision: number;
  readonly chunks: Map<number, TaskChunk>;
  /** The chunks with at least one assignment. */
  readonly assignedChunks: Set<TaskChunk>;
  readonly completedTasks: TaskSet;
  assignedCount: number;
  /** True once every task has a result and the job is queued to be recorded as done. */
  completionRequested: boolean;
  /** Number of failures of this job's tasks, by machine name. */
  readonly failuresByMachine: Map<string, number>;
  failureCount: number;
  /** How often its tasks were stopped in favor of other work. */
  preemptionCount: number;
  /** Tasks of the job are not assigned again before this time (back-off after failures). */
  retryNotBefore: MonotonicTime;
  /** The tasks that have neither a result nor an assignment; none of a job that is not open. */
  readonly unassignedTasks: TaskSet;
  firstSeenAt: MonotonicTime;
  /** When a service replica last lost its assignment, and so became unavailable to its users; null if none did. */
  replicaLostAt: MonotonicTime | null;
  pendingReason: PendingReason;
  /** When the job became ready: at its submission or when its last dependency was done; null until then. */
  readySince: Date | null;
  /** Higher of its own priority and the priorities of the jobs that depend on it. */
  priority: Priority;
  /** Wall time in seconds by which it should end to meet its own deadline and those of the jobs that depend on it. */
  latestCompletion: number;
  /** True if the job fits its team's fair share together with the team's earlier unfinished jobs. */
  withinFairShare: boolean;
}

/** Returns a job as first read, with no task assigned or completed. */
export const newJob = (record: JobRecord, modRevision: number, now: MonotonicTime): Job => ({
  spec: record.spec,
  submittedAt: record.submittedAt,
  status: record.status,
  modRevision,
  chunks: new Map(),
  assignedChunks: new Set(),
  completedTasks: new TaskSet(record.spec.taskCount),
  assignedCount: 0,
  completionRequested: false,
  failuresByMachine: new Map(),
  failureCount: 0,
  preemptionCount: 0,
  retryNotBefore: 0n,
  unassignedTasks: record.status === 'open' ? TaskSet.full(record.spec.taskCount) : new TaskSet(0),
  firstSeenAt: now,
  replicaLostAt: null,
  pendingReason: NOT_CONSIDERED_YET,
  withinFairShare: false,
  readySince: record.submittedAt,
  priority: record.spec.priority,
  latestCompletion: Infinity,
});
