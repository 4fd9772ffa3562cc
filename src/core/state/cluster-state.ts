/**
 * @file The leader's state, in typed parts. The parts hold data; docs/architecture.md lists the modules that own them.
 * Nothing here reads a clock or performs input or output.
 */
import type { ClusterConfig } from '../model/cluster-config.js';
import type { Effect } from '../model/effects.js';
import type { OperatorSettings } from '../model/operator-settings.js';
import type { ZonePolicy } from '../model/zone-policy.js';
import { type CommandState, newCommandState } from './command-state.js';
import { type JobTable, newJobTable } from './job-table.js';
import { type MachineTable, newMachineTable } from './machine-table.js';
import { type RecordState, newRecordState } from './record-state.js';
import { type ScalingState, newScalingState } from './scaling-state.js';
import { type SchedulingState, newSchedulingState } from './scheduling-state.js';
import { type LeadershipTerm, type TermState, newTermState } from './term-state.js';

/** The leader's complete state. */
export interface ClusterState {
  readonly config: ClusterConfig;
  readonly settings: OperatorSettings;
  readonly term: TermState;
  readonly jobs: JobTable;
  readonly machines: MachineTable;
  readonly records: RecordState;
  readonly commands: CommandState;
  readonly scheduling: SchedulingState;
  readonly scaling: ScalingState;
  /** Decides which lost or returning zones take work; null if the feature is off. */
  readonly zonePolicy: ZonePolicy | null;
  /** Actions outside the core that the current event requires. */
  effects: Effect[];
}

/** Returns the state at the beginning of a term, before anything is loaded. */
export function newClusterState(
  config: ClusterConfig,
  settings: OperatorSettings,
  term: LeadershipTerm,
  zonePolicy: ZonePolicy | null = null,
): ClusterState {
  return {
    config,
    settings,
    term: newTermState(term),
    jobs: newJobTable(config),
    machines: newMachineTable(),
    records: newRecordState(term.startedAt),
    commands: newCommandState(),
    scheduling: newSchedulingState(term.startedAt),
    scaling: newScalingState(),
    zonePolicy,
    effects: [],
  };
}
