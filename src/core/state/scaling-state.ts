/** @file Scale-out requests that are unanswered or were recently refused. */
import type { PendingScaleOut } from '../model/scale-out.js';
import type { MonotonicTime } from '../model/time.js';

/** The leader's requests to the cloud. */
export interface ScalingState {
  /** Requests without a response yet, by request name. */
  readonly pending: Map<string, PendingScaleOut>;
  /** When the cloud last refused a request or granted too few machines, by `machineKindKey` (type, zone, spot). */
  readonly refusedAt: Map<string, MonotonicTime>;
}

/** Returns a state without requests. */
export const newScalingState = (): ScalingState => ({ pending: new Map(), refusedAt: new Map() });
