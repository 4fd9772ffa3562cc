/** @file Settings that operators may change. */
import type { Duration } from './time.js';

/** Parameters of the scheduling design (by the symbols of its paper) and of what was added to it. */
export interface OperatorSettings {
  readonly alpha: number;
  readonly lambda: number;
  readonly betaCs: number;
  readonly betaRc: number;
  readonly phi: number;
  /** Image bandwidth in GB/s; null: the machine type's own. */
  readonly bandwidth: number | null;
  /** A machine that is not needed is released after being idle for this long. */
  readonly idleTimeout: Duration;
  /** Capacity kept free beyond what is in use, as a share of it. */
  readonly reserveShare: number;
  /** A machine is quarantined once tasks of this many different jobs have failed on it. */
  readonly quarantineThreshold: number;
}
