import { DependencyGraph } from './dependency-graph.js';
import type { Facts, Intent, Job, OperatorSettings, Machine, MachineType, Page } from './model.js';
import { Quota } from './quota.js';
import type { ZonePolicy } from './zone-policy.js';
import { seconds, type Span, type Steady } from './time.js';

/** What a worker is told to do with one attempt of a task. */
export interface Order {
  readonly op: 'start' | 'stop' | 'forget';
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly grace?: number;
}

/** Machines of one kind to rent together. */
export interface RentOrder {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** What the core wants done outside. */
export type Effect =
  | {
      readonly kind: 'direct';
      readonly machine: string;
      readonly session: number;
      readonly orders: readonly Order[];
    }
  | { readonly kind: 'rent'; readonly order: RentOrder }
  | { readonly kind: 'return'; readonly machines: readonly string[]; readonly why: string }
  | { readonly kind: 'raise'; readonly why: string }
  | { readonly kind: 'deposed'; readonly token: number }
  | { readonly kind: 'abdicate'; readonly why: string }
  /** What the next owner must know of zones. */
  | { readonly kind: 'keep zones'; readonly record: unknown }
  | {
      readonly kind: 'note';
      readonly level: 'info' | 'debug';
      readonly text: string;
      readonly about: Record<string, unknown>;
    };

/** A rental under way or recently refused. */
export interface Pending {
  readonly order: RentOrder;
  readonly since: Steady;
}

/** Everything the owner of a part knows. One object, changed only by the core's own functions. */
export interface ClusterState {
  readonly facts: Facts;
  readonly settings: OperatorSettings;
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  readonly types: Map<string, MachineType>;
  readonly quota: Quota;
  /** Decides about zones that are lost or come back; null: the feature is off. */
  readonly zonePolicy: ZonePolicy | null;
  /** Token now in force and the one with which this term began. */
  token: number;
  readonly firstToken: number;
  readonly began: Steady;
  /** From here on no earlier owner can be answering reports. */
  readonly othersQuiet: Steady;
  /** Last moment at which the state service surely knew us as owner, with a copy that was current. */
  contact: Steady;
  raisedAt: Steady;
  /** When a machine last reported of its own accord for the first time in this term. */
  lastArrival: Steady;
  /** Jobs that are neither done nor cancelled. */
  readonly open: Set<string>;
  /** Which jobs wait for which. */
  readonly dependencies: DependencyGraph;
  /** Deadlines of unfinished jobs that were not told as missed, in seconds of wall time. */
  readonly deadlines: Map<string, number>;
  /** Jobs that are over, in the order in which that came to be known, with when. */
  readonly closed: Map<string, Steady>;
  /** Machines that passes have looked at: what is done when nothing is to be done is counted by tests. */
  machinesScanned: number;
  readonly pages: Map<number, Page>;
  /** Pages that must be written together, since chunks move from one to the others; the first group is next. */
  readonly tiedPages: (readonly number[])[];
  /** Counts every change of what is recorded. */
  version: number;
  /** Pages with uncommitted changes, oldest first, since when; and those of them that something waits for. */
  readonly dirty: Map<number, Steady>;
  readonly urgent: Set<number>;
  readonly dirtyJobs: Map<string, Steady>;
  /** Jobs cancelled through a dependency whose own records still say open. */
  readonly unrecordedCancellations: Set<string>;
  /** When records of such jobs were last written. */
  cancellationsWrittenAt: Steady;
  longestName: number;
  /** The set of open jobs has changed since guarantees were last marked. */
  rankStale: boolean;
  /** When the last pass was made. */
  passedAt: Steady;
  /** How long passes took lately, as the one who keeps the clock saw it. */
  passTook: Span;
  /** How late the process has been of late: what should have come at one moment came so much later. */
  lateness: Span;
  /** Jobs that have tasks without a place. */
  readonly waiting: Set<string>;
  needPass: boolean;
  /** The gang for which this pass keeps free room together. */
  holding: string | null;
  /** The gang that has waited longest for room, once that is so long that machines are emptied for it; and which. */
  emptying: { readonly job: string; machines: ReadonlySet<string>; readonly first: boolean } | null;
  /** Some unfinished job's task takes most of a machine. */
  wholeNeeded: boolean;
  /** Jobs for which this pass has booked room already. */
  readonly promised: Set<string>;
  effects: Effect[];
  /** Results whose `forget` waits for a commit: machine -> task key. */
  readonly forgets: Map<string, Map<string, Forget>>;
  /** Copies of `run` that may still arrive at a machine: machine -> `key#attempt` -> token they carry. */
  readonly loose: Map<string, Map<string, number>>;
  /** Direct commands under way: machine -> `key#attempt` -> how many. */
  readonly flying: Map<string, Map<string, number>>;
  readonly booting: Map<string, { type: string; zone: string; spot: boolean; since: Steady }>;
  readonly renting: Map<string, Pending>;
  readonly refused: Map<string, Steady>;
  /** Machines proven gone, since when: what still comes in their names are copies. Names are never given twice. */
  readonly gone: Map<string, Steady>;
  /** Estimates corrected by what was seen: class -> factor. */
  readonly pace: Map<string, number>;
  rentedAt: Steady;
  listSeen: boolean;
}

/** An exited task whose result must be committed before the worker may forget it. */
export interface Forget {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly index: number | null;
  readonly version: number;
  readonly since: Steady;
}

/** What a term as owner begins with. */
export interface Term {
  readonly token: number;
  readonly began: Steady;
  /**
   * When the claim was sent. A cancellation confirmed between that moment and the beginning of the term may not be in
   * the copy yet, so the answering span counts from here.
   */
  readonly contact: Steady;
  readonly othersQuiet: Steady;
}

/** The state at the beginning of a term, before anything is read. */
export function newClusterState(
  facts: Facts,
  settings: OperatorSettings,
  term: Term,
  zonePolicy: ZonePolicy | null = null,
): ClusterState {
  return {
    facts,
    settings,
    jobs: new Map(),
    machines: new Map(),
    types: new Map(),
    quota: new Quota(facts.teams),
    zonePolicy,
    token: term.token,
    firstToken: term.token,
    began: term.began,
    othersQuiet: term.othersQuiet,
    contact: term.contact,
    raisedAt: term.began,
    lastArrival: term.began,
    open: new Set(),
    closed: new Map(),
    dependencies: new DependencyGraph(),
    deadlines: new Map(),
    machinesScanned: 0,
    pages: new Map(),
    tiedPages: [],
    version: 0,
    dirty: new Map(),
    urgent: new Set(),
    dirtyJobs: new Map(),
    unrecordedCancellations: new Set(),
    cancellationsWrittenAt: term.began,
    longestName: 0,
    rankStale: true,
    passedAt: term.began,
    passTook: 0n,
    lateness: 0n,
    waiting: new Set(),
    needPass: true,
    holding: null,
    emptying: null,
    wholeNeeded: false,
    promised: new Set(),
    effects: [],
    forgets: new Map(),
    loose: new Map(),
    flying: new Map(),
    booting: new Map(),
    renting: new Map(),
    refused: new Map(),
    gone: new Map(),
    pace: new Map(),
    rentedAt: term.began,
    listSeen: false,
  };
}

/** Why a gang waits. */
export const NO_ROOM_FOR_ALL = 'no room for all tasks at once';

/** Names one attempt of a task. */
export const runKey = (job: string, task: number, attempt: number): string => `${job}/${task}#${attempt}`;

/** The inner map under a key, made when it is missing. */
export function innerMap<K, V>(outer: Map<string, Map<K, V>>, key: string): Map<K, V> {
  let m = outer.get(key);
  if (m === undefined) {
    m = new Map();
    outer.set(key, m);
  }
  return m;
}

/** Has a line written to the log. */
export function emitLog(
  state: ClusterState,
  text: string,
  about: Record<string, unknown>,
  level: 'info' | 'debug' = 'debug',
): void {
  state.effects.push({ kind: 'note', level, text, about });
}

/** Whether some copy of the intent's `run` may still reach its machine. */
export function mayArrive(state: ClusterState, intent: Intent): boolean {
  const key = runKey(intent.job, intent.task, intent.attempt);
  return (
    state.loose.get(intent.machine)?.has(key) === true ||
    (state.flying.get(intent.machine)?.get(key) ?? 0) > 0
  );
}

const BEHIND = seconds(0.1);

/**
 * Whether the process is so late that what it does of its own accord must give way to what workers ask. On a small
 * share of a core a takeover brings more at once than can be done at once; direct calls, each of which costs several
 * times as much as a report, then took the time in which the reports should have been answered, and leases ran out.
 */
export const isBehind = (state: ClusterState): boolean => state.lateness > BEHIND;

/** Clocks differ by 0.05%: twice that, as a share of a span. */
export const DRIFT_SHARE = 1000n; // clocks differ by 0.05%; twice that, as a share of the span
/** A span as long as it can be by another clock. */
export const withDrift = (s: Span): Span => s + s / DRIFT_SHARE;
