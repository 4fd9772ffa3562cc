import type { Duration } from './time.js';

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
