/** @file Requests to the cloud for more machines. */
import type { MonotonicTime } from './time.js';

/** A request for `count` machines of one type in one zone, either all spot instances or none. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A scale-out request that the cloud has not answered yet. */
export interface PendingScaleOut {
  readonly request: ScaleOutRequest;
  readonly requestedAt: MonotonicTime;
}
