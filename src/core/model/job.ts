import type { Duration, MonotonicTime } from './time.js';
import type { PendingReason } from './pending-reasons.js';
import type { TaskChunk } from './records.js';

/** How the tasks of a job belong together. */
export type JobKind = 'array' | 'gang' | 'service';

/** Priorities, lowest first. */
export type Priority = 'low' | 'normal' | 'high' | 'production';

const RANKS: Record<Priority, number> = { low: 0, normal: 1, high: 2, production: 3 };

/** The order of priorities as a number. */
export const priorityRank = (p: Priority): number => RANKS[p];

/** A job as its user described it, in the names used inside. */
export interface JobSpec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly taskCount: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly singleZone: boolean;
  readonly spreadAcrossZones: boolean;
  readonly allowSpot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimatedDuration: Duration;
  readonly checkpointInterval: Duration;
  readonly checkpointDuration: Duration;
  readonly deadline: Duration | null;
  /** Jobs that must be done before any task of this one starts. */
  readonly dependencies: readonly string[];
}

/** What the state service holds for a job: its description, when it came, and how it stands. */
export type JobStatus = 'open' | 'cancelled' | 'done';

/** A job as the state service holds it. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  readonly status: JobStatus;
}

/** A job in the owner's memory. */
export interface Job {
  readonly spec: JobSpec;
  readonly submittedAt: Date;
  status: JobStatus;
  /** Stamp of the job's key: every transaction of the owner about this job is guarded by it. */
  modRevision: number;
  readonly chunks: Map<number, TaskChunk>;
  completedCount: number;
  assignedCount: number;
  completionRequested: boolean;
  /** Machines on which tasks of this job failed, with how often. */
  readonly failuresByMachine: Map<string, number>;
  failureCount: number;
  /** How often its tasks were stopped for other work. */
  preemptionCount: number;
  /** Not placed again before this moment (pauses after failures). */
  retryNotBefore: MonotonicTime;
  /** Tasks known to have neither result nor place; kept in order. */
  readonly unassignedTasks: Set<number>;
  firstSeenAt: MonotonicTime;
  /** When a running replica was last lost: its users are without it from then on. */
  replicaLostAt: MonotonicTime | null;
  pendingReason: PendingReason;
  /** From when its waiting counts: its submission, or the end of the last job that it needed; null: it waits for one. */
  readySince: Date | null;
  /** Its own priority, or that of a job that needs it if that is higher. */
  priority: Priority;
  /** Seconds of wall time by which it should end, for its own deadline and those of the jobs that need it. */
  latestCompletion: number;
  /** Inside its team's guarantee, together with the team's earlier unfinished jobs. */
  withinFairShare: boolean;
}
