/** @file Requests for further machines. */
import type { MonotonicTime } from './time.js';

/** Machines of one type, zone and kind that are requested together. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A request that the cloud has not answered yet. */
export interface PendingScaleOut {
  readonly request: ScaleOutRequest;
  readonly requestedAt: MonotonicTime;
}
