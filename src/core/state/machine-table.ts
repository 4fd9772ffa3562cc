/** @file The leader's table of machines, the machine types, and the names of terminated machines. */
import type { Machine, MachineType } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';

/** A requested machine that has not sent a heartbeat yet. */
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
  /**
   * Machines proven terminated, with the time. Names are unique, so later heartbeats with such a name are delayed
   * duplicates.
   */
  readonly terminated: Map<string, MonotonicTime>;
  /** True once an inventory was received from the cloud in this term. */
  inventoryReceived: boolean;
  /** Length of the longest encoded machine name in bytes. It bounds the size of a recorded assignment. */
  longestNameBytes: number;
  /** Number of machines that scheduling cycles have scanned. Tests check that an idle cycle scans none. */
  scannedCount: number;
}

/** Returns an empty table. */
export const newMachineTable = (): MachineTable => ({
  byName: new Map(),
  types: new Map(),
  booting: new Map(),
  terminated: new Map(),
  inventoryReceived: false,
  longestNameBytes: 0,
  scannedCount: 0,
});
