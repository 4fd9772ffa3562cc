import type { ChunkRecord } from './chunks.js';
import type { Free } from './placement.js';
import type { Span, Steady } from './time.js';

/** How the tasks of a job belong together. */
export type Kind = 'array' | 'gang' | 'service';
/** Priorities, lowest first. */
export type Priority = 'low' | 'normal' | 'high' | 'production';

const RANKS: Record<Priority, number> = { low: 0, normal: 1, high: 2, production: 3 };
/** The order of priorities as a number. */
export const rank = (p: Priority): number => RANKS[p];

/** A job as its user described it, in the names used inside. */
export interface Spec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly kind: Kind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memory: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimate: Span;
  readonly checkpoint: Span;
  readonly save: Span;
  readonly due: Span | null;
  /** Jobs that must be done before any task of this one starts. */
  readonly dependencies: readonly string[];
}

/** What the state service holds for a job: its description, when it came, and how it stands. */
export type Standing = 'open' | 'cancelled' | 'done';

/** A job as the state service holds it. */
export interface JobRecord {
  readonly spec: Spec;
  readonly submitted: Date;
  readonly standing: Standing;
}

/** One possible place of a task. It is committed before any `run` for it leaves this process. */
export interface Intent {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  readonly session: number;
  readonly zone: string;
  /** The world's version that first holds this intent; recorded once its chunk's committed version reaches it. */
  readonly version: number;
  readonly created: Steady;
  phase: Phase;
  /** Set when the task is to end here; `grace` goes into the `halt`. */
  stopping: { readonly grace: number; readonly why: string; readonly since: Steady } | null;
  /** Sequence number of the report whose response last carried the `run`; null if none did. */
  sentAt: number | null;
  /** When the `run` was first sent in this term. */
  sentTime: Steady | null;
  runningSince: Steady | null;
}

/** How far a placed task has come, as reported. */
export type Phase = 'placed' | 'fetching' | 'waiting' | 'running' | 'saving';

/** One key of the state service: the recorded state of many jobs' chunks. */
export interface Page {
  readonly id: number;
  pool: 'lasting' | 'passing';
  /** Stamp of the key as last committed; 0: the key does not exist. */
  stamp: number;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committed: number;
  readonly chunks: Set<Chunk>;
  /** The sum of its chunks' bounds; null: to be counted anew. */
  used: number | null;
}

/** A run of a job's tasks, recorded together in one page. */
export interface Chunk {
  readonly job: string;
  readonly index: number;
  page: Page | null;
  /** Highest attempt number given out in this chunk. */
  attempt: number;
  readonly done: Set<number>;
  readonly intents: Map<number, Intent>;
  /** The world's version at its last change, and the last one that is committed. */
  version: number;
  committed: number;
  /** As last written out; null: changed since. */
  record: ChunkRecord | null;
}

/** A job in the owner's memory. */
export interface Job {
  readonly spec: Spec;
  readonly submitted: Date;
  standing: Standing;
  /** Stamp of the job's key: every transaction of the owner about this job is guarded by it. */
  stamp: number;
  readonly chunks: Map<number, Chunk>;
  doneCount: number;
  placedCount: number;
  doneWanted: boolean;
  /** Machines on which tasks of this job failed, with how often. */
  readonly failedOn: Map<string, number>;
  failures: number;
  /** How often its tasks were stopped for other work. */
  stops: number;
  /** Not placed again before this moment (pauses after failures). */
  notBefore: Steady;
  /** Tasks known to have neither result nor place; kept in order. */
  readonly free: Set<number>;
  arrived: Steady;
  /** When a running replica was last lost: its users are without it from then on. */
  lostAt: Steady | null;
  waitReason: string;
  /** From when its waiting counts: its submission, or the end of the last job that it needed; null: it waits for one. */
  since: Date | null;
  /** Its own priority, or that of a job that needs it if that is higher. */
  priority: Priority;
  /** Seconds of wall time by which it should end, for its own deadline and those of the jobs that need it. */
  latestEnd: number;
  /** Inside its team's guarantee, together with the team's earlier unfinished jobs. */
  inside: boolean;
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
  readonly boot: Span;
  readonly zones: readonly string[];
}

/** A task as a worker reports it. */
export interface SeenTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  readonly why: string | null;
  readonly saved: boolean;
}

/** A worker's report, from whichever connection it came. */
export interface Report {
  readonly machine: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: number;
  readonly seq: number;
  readonly token: number;
  readonly notice: Span | null;
  readonly tasks: readonly SeenTask[];
}

/** A machine as the cloud lists it. */
export interface Listed {
  readonly name: string;
  readonly endpoint: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly age: Span;
}

/** A machine in the owner's memory. */
export interface Machine {
  readonly name: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0: no report seen yet. */
  session: number;
  seq: number;
  token: number;
  notice: Steady | null;
  /** When the last report was answered by us, or when an earlier owner may last have answered one. */
  answered: Steady;
  heard: Steady;
  /** When its first report of its own accord came in this term; null: none has. */
  arrivedAt: Steady | null;
  /** The worker has shown the token of this term: only our answers reach it, and absence counts. */
  fenced: boolean;
  /** Sessions up to this one are over: their tasks are gone, and nothing starts in them. */
  deadSession: number;
  readonly intents: Map<string, Intent>;
  /** Tasks last reported and not exited, by key, with their attempt. */
  seen: Map<string, SeenTask>;
  readonly images: Map<string, { gb: number; used: Steady }>;
  faults: Map<string, Steady>;
  setAside: boolean;
  setAsideSince: Steady | null;
  idleSince: Steady | null;
  listed: Listed['state'] | null;
  listedAt: Steady | null;
  returning: boolean;
  /** The fleet would like to empty it: it is used only when nothing else fits. */
  closed: boolean;
  firstKnown: Steady;
  /** Sequence numbers of reports lately asked to be answered, in this session: the same one again is a copy. */
  asked: number[];
  /** Answers in a row that carried a `run` of which the next reports showed nothing. */
  unheeded: number;
  unheededAt: number;
  /** Its reports come, but nothing shows that what we send reaches it; since when. */
  deafSince: Steady | null;
  probedAt: Steady | null;
  /** What is free, counted anew after a change: `r` without, `room` with what is being stopped. */
  view: { readonly r: Free; readonly room: Free } | null;
  /** It reports tasks that no intent covers; they take room too. */
  strays: boolean;
}

/** A team with its guarantee and its limit; 0: none. */
export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** An aim of the operators for a class of jobs. */
export interface Objective {
  readonly kind: string;
  readonly class: string;
  readonly within: Span | null;
  readonly share: number;
}

/** The platform's facts as the core uses them. */
export interface Facts {
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly report: Span;
  readonly lease: Span;
  readonly gangWait: Span;
  readonly gangPeer: Span;
  readonly cancel: Span;
  readonly txnOps: number;
  /** The most that one value in the state service may take. */
  readonly valueBytes: number;
  readonly listLag: Span;
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
  readonly idle: Span;
  /** Room kept free beyond what is in use, as a share of it. */
  readonly reserve: number;
  /** Different jobs failing on a machine before it is set aside. */
  readonly faultJobs: number;
}

/** Names a task. */
export const taskKey = (job: string, task: number): string => `${job}/${task}`;
