/** @file Scale-out requests under way or recently refused. */
import type { PendingScaleOut } from '../model/scale-out.js';
import type { MonotonicTime } from '../model/time.js';

/** The leader's requests to the cloud. */
export interface ScalingState {
  /** Requests without an answer, by request name. */
  readonly pending: Map<string, PendingScaleOut>;
  /** Type, zone and kind of machines that the cloud lately had too few of, with the time of the refusal. */
  readonly refusedAt: Map<string, MonotonicTime>;
}

/** Nothing requested yet. */
export const newScalingState = (): ScalingState => ({ pending: new Map(), refusedAt: new Map() });
