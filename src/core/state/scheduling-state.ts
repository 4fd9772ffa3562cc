/** @file What scheduling cycles keep from one to the next. */
import type { Duration, MonotonicTime } from '../model/time.js';

/** The gang that has waited longest for capacity, and the machines that are drained for it. */
interface StarvedGang {
  readonly job: string;
  machines: ReadonlySet<string>;
  /** It has waited so long that it is scheduled before all but production jobs. */
  readonly prioritized: boolean;
}

/** The scheduler's own state. */
export interface SchedulingState {
  /** Something has changed that a cycle may act on. */
  cycleNeeded: boolean;
  lastCycleAt: MonotonicTime;
  /** Moving average, measured by the caller: the core reads no clock. */
  averageCycleDuration: Duration;
  starvedGang: StarvedGang | null;
  /** Some active job has a task that takes most of a machine. */
  wholeMachineNeeded: boolean;
}

/** No cycle has run yet. */
export const newSchedulingState = (startedAt: MonotonicTime): SchedulingState => ({
  cycleNeeded: true,
  lastCycleAt: startedAt,
  averageCycleDuration: 0n,
  starvedGang: null,
  wholeMachineNeeded: false,
});
