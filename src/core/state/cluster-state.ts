import { DependencyGraph } from './dependency-graph.js';
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Job } from '../model/job.js';
import type { OperatorSettings } from '../model/operator-settings.js';
import type { Machine, MachineType } from '../model/machine.js';
import type { RecordPage } from '../model/records.js';
import { TeamQuotas } from './team-quotas.js';
import type { ZonePolicy } from '../model/zone-policy.js';
import type { Duration, MonotonicTime } from '../model/time.js';
import type { Effect } from '../model/effects.js';
import type { PendingScaleOut } from '../model/scale-out.js';
import type { PendingForget } from '../model/worker-command.js';
import type { LeadershipTerm } from './term-state.js';

/** Everything the owner of a part knows. One object, changed only by the core's own functions. */
export interface ClusterState {
  readonly config: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  readonly types: Map<string, MachineType>;
  readonly quota: TeamQuotas;
  /** Decides about zones that are lost or come back; null: the feature is off. */
  readonly zonePolicy: ZonePolicy | null;
  /** Token now in force and the one with which this term began. */
  token: number;
  readonly firstToken: number;
  readonly began: MonotonicTime;
  /** From here on no earlier owner can be answering reports. */
  readonly othersQuiet: MonotonicTime;
  /** Last moment at which the state service surely knew us as owner, with a copy that was current. */
  contact: MonotonicTime;
  raisedAt: MonotonicTime;
  /** When a machine last reported of its own accord for the first time in this term. */
  lastArrival: MonotonicTime;
  /** Jobs that are neither done nor cancelled. */
  readonly open: Set<string>;
  /** Which jobs wait for which. */
  readonly dependencies: DependencyGraph;
  /** Deadlines of unfinished jobs that were not told as missed, in seconds of wall time. */
  readonly deadlines: Map<string, number>;
  /** Jobs that are over, in the order in which that came to be known, with when. */
  readonly closed: Map<string, MonotonicTime>;
  /** Machines that passes have looked at: what is done when nothing is to be done is counted by tests. */
  machinesScanned: number;
  readonly pages: Map<number, RecordPage>;
  /** Pages that must be written together, since chunks move from one to the others; the first group is next. */
  readonly tiedPages: (readonly number[])[];
  /** Counts every change of what is recorded. */
  version: number;
  /** Pages with uncommitted changes, oldest first, since when; and those of them that something waits for. */
  readonly dirty: Map<number, MonotonicTime>;
  readonly urgent: Set<number>;
  readonly dirtyJobs: Map<string, MonotonicTime>;
  /** Jobs cancelled through a dependency whose own records still say open. */
  readonly unrecordedCancellations: Set<string>;
  /** When records of such jobs were last written. */
  cancellationsWrittenAt: MonotonicTime;
  longestName: number;
  /** The set of open jobs has changed since guarantees were last marked. */
  rankStale: boolean;
  /** When the last pass was made. */
  passedAt: MonotonicTime;
  /** How long passes took lately, as the one who keeps the clock saw it. */
  passTook: Duration;
  /** How late the process has been of late: what should have come at one moment came so much later. */
  lateness: Duration;
  /** Jobs that have tasks without a place. */
  readonly waiting: Set<string>;
  needPass: boolean;
  /** The gang for which this pass keeps free room together. */
  holding: string | null;
  /** The gang that has waited longest for room, once that is so long that machines are emptied for it; and which. */
  emptying: { readonly job: string; machines: ReadonlySet<string>; readonly prioritized: boolean } | null;
  /** Some unfinished job's task takes most of a machine. */
  wholeNeeded: boolean;
  /** Jobs for which this pass has booked room already. */
  readonly promised: Set<string>;
  effects: Effect[];
  /** Results whose `forget` waits for a commit: machine -> task key. */
  readonly forgets: Map<string, Map<string, PendingForget>>;
  /** Copies of `run` that may still arrive at a machine: machine -> `key#attempt` -> token they carry. */
  readonly loose: Map<string, Map<string, number>>;
  /** Direct commands under way: machine -> `key#attempt` -> how many. */
  readonly flying: Map<string, Map<string, number>>;
  readonly booting: Map<string, { type: string; zone: string; spot: boolean; since: MonotonicTime }>;
  readonly renting: Map<string, PendingScaleOut>;
  readonly refused: Map<string, MonotonicTime>;
  /** Machines proven gone, since when: what still comes in their names are copies. Names are never given twice. */
  readonly gone: Map<string, MonotonicTime>;
  /** Estimates corrected by what was seen: class -> factor. */
  readonly pace: Map<string, number>;
  rentedAt: MonotonicTime;
  listSeen: boolean;
}

/** The state at the beginning of a term, before anything is read. */
export function newClusterState(
  facts: ClusterConfig,
  settings: OperatorSettings,
  term: LeadershipTerm,
  zonePolicy: ZonePolicy | null = null,
): ClusterState {
  return {
    config: facts,
    settings,
    jobs: new Map(),
    machines: new Map(),
    types: new Map(),
    quota: new TeamQuotas(facts.teams),
    zonePolicy,
    token: term.fencingToken,
    firstToken: term.fencingToken,
    began: term.startedAt,
    othersQuiet: term.previousLeadersDeadline,
    contact: term.confirmedAt,
    raisedAt: term.startedAt,
    lastArrival: term.startedAt,
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
    cancellationsWrittenAt: term.startedAt,
    longestName: 0,
    rankStale: true,
    passedAt: term.startedAt,
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
    rentedAt: term.startedAt,
    listSeen: false,
  };
}
