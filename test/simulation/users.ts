/** @file Simulates the users: which jobs they submit and which they cancel. */
import type { JobRecord } from '../../src/core/model/job.js';
import { jobSpec } from '../fixtures/cluster-config.js';
import type { SimulatedStateStore, StoredJob } from './state-store.js';
import type { SimulatedWorker } from './worker.js';

/** A task that ends within this time counts as ending, in seconds. */
const ENDING_SOON_S = 0.5;

/** How many of the latest jobs a new one may depend on. */
const RECENT_JOBS = 4;

/** A job's record as a user's request has changed it. */
export interface JobChange {
  readonly id: string;
  readonly record: JobRecord;
  readonly modRevision: number;
}

/** The users of a run. */
export class SimulatedUsers {
  constructor(
    private readonly store: SimulatedStateStore,
    private readonly workers: readonly SimulatedWorker[],
    private readonly randomBelow: (n: number) => number,
  ) {}

  /** Submits a random job. */
  submit(id: string, withDependencies: boolean, submittedAt: Date): JobChange {
    const isGang = this.randomBelow(4) === 0;
    const team = (['red', 'blue', 'green'] as const)[this.randomBelow(3)] ?? 'red';
    const spec = jobSpec(id, {
      kind: isGang ? 'gang' : 'array',
      taskCount: 1 + this.randomBelow(3),
      team,
      priority: this.randomBelow(3) === 0 ? 'high' : 'normal',
      dependencies: withDependencies ? this.randomDependencies() : [],
    });
    const record: JobRecord = { spec, submittedAt, status: 'open' };
    return { id, record, modRevision: this.store.putJob(id, record, null) };
  }

  /**
   * Cancels a job, often at the end of one of its tasks or while a start of it is held up. Returns null if that changes
   * nothing.
   */
  cancel(secondsElapsed: number, jobsWithHeldStart: readonly string[]): JobChange | null {
    const chosen = this.chooseJobToCancel(secondsElapsed, jobsWithHeldStart);
    if (chosen === undefined) return null;
    const [id, job] = chosen;
    if (job.record.status === 'cancelled') return null;
    const record: JobRecord = { ...job.record, status: 'cancelled' };
    return { id, record, modRevision: this.store.putJob(id, record, secondsElapsed) };
  }

  private chooseJobToCancel(
    secondsElapsed: number,
    jobsWithHeldStart: readonly string[],
  ): [string, StoredJob] | undefined {
    // Users cancel jobs that were already cancelled through a dependency as often as others; that changes nothing.
    const cancellableJobs = [...this.store.jobs].filter(
      ([, job]) => job.record.status !== 'done' && job.cancelledAt === null,
    );
    // Half of the cancellations coincide with the end of a task.
    const endingSoon = cancellableJobs.filter(([id]) => this.hasTaskEndingSoon(id, secondsElapsed));
    // Cancellations are frequent while a start is held up: their direct stop commands overtake it.
    const heldUp = cancellableJobs.filter(([id]) => jobsWithHeldStart.includes(id));
    const coinciding = heldUp.length > 0 ? heldUp : endingSoon;
    const candidates = coinciding.length > 0 && this.randomBelow(2) === 0 ? coinciding : cancellableJobs;
    return candidates[this.randomBelow(Math.max(1, candidates.length))];
  }

  private hasTaskEndingSoon(id: string, secondsElapsed: number): boolean {
    return this.workers.some((worker) =>
      [...worker.tasks.values()].some(
        (task) =>
          task.jobId === id && task.state === 'running' && task.endsAt - secondsElapsed < ENDING_SOON_S,
      ),
    );
  }

  /** Dependencies for a new job: recently submitted jobs, of any status, or none. */
  private randomDependencies(): string[] {
    const recentJobs = [...this.store.jobs.keys()].slice(-RECENT_JOBS);
    const first = recentJobs[this.randomBelow(8)];
    const second = recentJobs[this.randomBelow(16)];
    return [...new Set([first, second].filter((id) => id !== undefined))];
  }
}
