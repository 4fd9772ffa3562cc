/** @file State that scheduling cycles keep from one cycle to the next. */
import type { Duration, MonotonicTime } from '../model/time.js';

/** The gang that has waited longest for capacity, and the machines being drained for it. */
interface StarvedGang {
  readonly job: string;
  machines: ReadonlySet<string>;
  /** True if the gang has waited so long that only production jobs are scheduled before it. */
  readonly prioritized: boolean;
}

/** The scheduler's own state. */
export interface SchedulingState {
  /** True if something has changed that a cycle may act on. */
  cycleNeeded: boolean;
  lastCycleAt: MonotonicTime;
  /** Moving average of cycle durations, which the caller measures because the core reads no clock. */
  averageCycleDuration: Duration;
  starvedGang: StarvedGang | null;
  /** True if an active job has a task that takes most of a machine. */
  wholeMachineNeeded: boolean;
}

/** Returns the state before the first cycle. */
export const newSchedulingState = (startedAt: MonotonicTime): SchedulingState => ({
  cycleNeeded: true,
  lastCycleAt: startedAt,
  averageCycleDuration: 0n,
  starvedGang: null,
  wholeMachineNeeded: false,
});
