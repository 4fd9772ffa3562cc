import type { MonotonicTime } from './time.js';

/** Machines of one kind to rent together. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A rental under way or recently refused. */
export interface PendingScaleOut {
  readonly request: ScaleOutRequest;
  readonly requestedAt: MonotonicTime;
}
