/** @file Settings that operators may change. */
import type { Duration } from './time.js';

/** Parameters of the scheduling design, named after the symbols of its paper, and of the extensions to it. */
export interface OperatorSettings {
  readonly alpha: number;
  readonly lambda: number;
  readonly betaCs: number;
  readonly betaRc: number;
  readonly phi: number;
  /** Bandwidth of image fetches in GB/s, or null to use that of the machine type. */
  readonly bandwidth: number | null;
  /** How long a machine that is not needed stays idle before it is released. */
  readonly idleTimeout: Duration;
  /** Capacity kept free, as a share of the capacity in use. */
  readonly reserveShare: number;
  /** Number of different jobs with failed tasks on a machine at which the machine is quarantined. */
  readonly quarantineThreshold: number;
}
