/** @file The machines that the leader knows, their types, and names of machines that are gone. */
import type { Machine, MachineType } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';

/** A machine that was requested and has not sent a heartbeat yet. */
interface BootingMachine {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly since: MonotonicTime;
}

/** All machines of the partition. */
export interface MachineTable {
  readonly byName: Map<string, Machine>;
  readonly types: Map<string, MachineType>;
  readonly booting: Map<string, BootingMachine>;
  /** Machines proven terminated, with the time: later heartbeats in their names are delayed duplicates. Names are unique. */
  readonly terminated: Map<string, MonotonicTime>;
  /** An inventory of the cloud was received in this term. */
  inventoryReceived: boolean;
  /** Length of the longest encoded machine name seen: bounds the size of a recorded assignment. */
  longestNameBytes: number;
  /** Machines that scheduling cycles looked at: tests check that an idle cycle looks at none. */
  scannedCount: number;
}

/** An empty table. */
export const newMachineTable = (): MachineTable => ({
  byName: new Map(),
  types: new Map(),
  booting: new Map(),
  terminated: new Map(),
  inventoryReceived: false,
  longestNameBytes: 0,
  scannedCount: 0,
});
