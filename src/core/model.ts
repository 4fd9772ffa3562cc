import type { ChunkRecord } from './chunks.js';
import type { Resources } from './placement.js';
import type { Duration, MonotonicTime } from './time.js';

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

/** One possible place of a task. It is committed before any `run` for it leaves this process. */
export interface Assignment {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly machineName: string;
  readonly agentEpoch: number;
  readonly zone: string;
  /** The world's version that first holds this intent; recorded once its chunk's committed version reaches it. */
  readonly recordVersion: number;
  readonly createdAt: MonotonicTime;
  phase: AssignmentPhase;
  /** Set when the task is to end here; `grace` goes into the `halt`. */
  stopRequest: {
    readonly grace: number;
    readonly reason: string;
    readonly requestedAt: MonotonicTime;
  } | null;
  /** Sequence number of the report whose response last carried the `run`; null if none did. */
  startSentInSequence: number | null;
  /** When the `run` was first sent in this term. */
  startSentAt: MonotonicTime | null;
  runningSince: MonotonicTime | null;
}

/** How far a placed task has come, as reported. */
export type AssignmentPhase = 'placed' | 'fetching' | 'waiting' | 'running' | 'saving';

/** One key of the state service: the recorded state of many jobs' chunks. */
export interface RecordPage {
  readonly id: number;
  pool: 'lasting' | 'passing';
  /** Stamp of the key as last committed; 0: the key does not exist. */
  modRevision: number;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committedVersion: number;
  readonly chunks: Set<TaskChunk>;
  /** The sum of its chunks' bounds; null: to be counted anew. */
  reservedBytes: number | null;
}

/** A run of a job's tasks, recorded together in one page. */
export interface TaskChunk {
  readonly jobId: string;
  readonly index: number;
  page: RecordPage | null;
  /** Highest attempt number given out in this chunk. */
  highestAttempt: number;
  readonly completedTasks: Set<number>;
  readonly assignments: Map<number, Assignment>;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committedVersion: number;
  /** As last written out; null: changed since. */
  cachedRecord: ChunkRecord | null;
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
  pendingReason: string;
  /** From when its waiting counts: its submission, or the end of the last job that it needed; null: it waits for one. */
  readySince: Date | null;
  /** Its own priority, or that of a job that needs it if that is higher. */
  priority: Priority;
  /** Seconds of wall time by which it should end, for its own deadline and those of the jobs that need it. */
  latestCompletion: number;
  /** Inside its team's guarantee, together with the team's earlier unfinished jobs. */
  withinFairShare: boolean;
}

/** A type of machine that the cloud rents. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootTime: Duration;
  readonly zones: readonly string[];
}

/** A task as a worker reports it. */
export interface ReportedTask {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly state: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  readonly exitReason: string | null;
  readonly checkpointed: boolean;
}

/** A worker's report, from whichever connection it came. */
export interface Heartbeat {
  readonly machineName: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly fencingToken: number;
  readonly preemptionNotice: Duration | null;
  readonly tasks: readonly ReportedTask[];
}

/** A machine as the cloud lists it. */
export interface CloudInstance {
  readonly name: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly age: Duration;
}

/** A machine in the owner's memory. */
export interface Machine {
  readonly name: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0: no report seen yet. */
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  preemptionAt: MonotonicTime | null;
  /** When the last report was answered by us, or when an earlier owner may last have answered one. */
  lastAcknowledgedAt: MonotonicTime;
  lastHeartbeatAt: MonotonicTime;
  /** When its first report of its own accord came in this term; null: none has. */
  firstHeartbeatAt: MonotonicTime | null;
  /** The worker has shown the token of this term: only our answers reach it, and absence counts. */
  fenced: boolean;
  /** Sessions up to this one are over: their tasks are gone, and nothing starts in them. */
  lastExpiredEpoch: number;
  readonly assignments: Map<string, Assignment>;
  /** Tasks last reported and not exited, by key, with their attempt. */
  reportedTasks: Map<string, ReportedTask>;
  readonly cachedImages: Map<string, { gb: number; lastUsedAt: MonotonicTime }>;
  failuresByJob: Map<string, MonotonicTime>;
  quarantined: boolean;
  quarantinedSince: MonotonicTime | null;
  idleSince: MonotonicTime | null;
  instanceState: CloudInstance['state'] | null;
  lastListedAt: MonotonicTime | null;
  releasing: boolean;
  /** The fleet would like to empty it: it is used only when nothing else fits. */
  draining: boolean;
  firstSeenAt: MonotonicTime;
  /** Sequence numbers of reports lately asked to be answered, in this session: the same one again is a copy. */
  answeredSequences: number[];
  /** Answers in a row that carried a `run` of which the next reports showed nothing. */
  unacknowledgedStarts: number;
  unacknowledgedSequence: number;
  /** Its reports come, but nothing shows that what we send reaches it; since when. */
  unreachableSince: MonotonicTime | null;
  probedAt: MonotonicTime | null;
  /** What is free, counted anew after a change: `r` without, `room` with what is being stopped. */
  resources: { readonly free: Resources; readonly projected: Resources } | null;
  /** It reports tasks that no intent covers; they take room too. */
  hasOrphanedTasks: boolean;
}

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

/** Parameters of the design (the paper's symbols) and of what was added to it; operators may set them. */
export interface OperatorSettings {
  readonly alpha: number;
  readonly lambda: number;
  readonly betaCs: number;
  readonly betaRc: number;
  readonly phi: number;
  /** Image bandwidth in GB/s; null: the machine type's own. */
  readonly bandwidth: number | null;
  /** An idle machine that is not needed is returned after this long. */
  readonly idleTimeout: Duration;
  /** Room kept free beyond what is in use, as a share of it. */
  readonly reserveShare: number;
  /** Different jobs failing on a machine before it is set aside. */
  readonly quarantineThreshold: number;
}

/** Names a task. */
export const taskKey = (job: string, task: number): string => `${job}/${task}`;
