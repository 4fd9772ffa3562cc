/** @file Scale-out requests that are unanswered or were recently refused. */
import type { PendingScaleOut } from '../model/scale-out.js';
import type { MonotonicTime } from '../model/time.js';

/** The leader's requests to the cloud. */
export interface ScalingState {
  /** Requests without an answer yet, by request name. */
  readonly pending: Map<string, PendingScaleOut>;
  /** Times at which the cloud refused machines because it had too few, by machine type, zone and kind. */
  readonly refusedAt: Map<string, MonotonicTime>;
}

/** Returns a state without requests. */
export const newScalingState = (): ScalingState => ({ pending: new Map(), refusedAt: new Map() });
