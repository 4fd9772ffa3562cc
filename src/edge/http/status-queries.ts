/** @file Looks up the status of jobs, as users see it, in the replica of the state store. It writes nothing. */
import { jobKey } from '../../wire/keys.js';
import { jobSummaryOf } from '../../wire/finished-job-summary.js';
import type { Logger } from '../runtime/logger.js';
import type { DependencyIndex } from '../state-store/dependency-index.js';
import type { StateStore } from '../state-store/state-store.js';
import type { TaskCounts } from '../state-store/task-counts.js';
import type { RequestAdmission } from './request-admission.js';
import {
  STATE_STORE_UNAVAILABLE,
  existingJob,
  isFinal,
  type JobView,
  type RequestResult,
} from './request-result.js';

const SYNC_TIMEOUT_MS = 1500;

/** Looks up the status of jobs. */
export class StatusQueries {
  constructor(
    private readonly stateStore: StateStore,
    private readonly counts: TaskCounts,
    private readonly dependencies: DependencyIndex,
    private readonly admission: RequestAdmission,
    private readonly logger: Logger,
  ) {}

  /** Returns the job as it currently is in the replica, or null if the replica does not contain it. */
  view(id: string): JobView | null {
    const entry = this.stateStore.replica.get(jobKey(id));
    if (entry === undefined) return null;
    const job = jobSummaryOf(entry.value);
    if (job.status === 'done') return { id, status: 'done', completedTasks: job.taskCount, runningTasks: 0 };
    // The job is cancelled because a dependency was cancelled; it had no task then, and has had none since.
    if (job.status === 'open' && this.dependencies.isCancelled(id))
      return { id, status: 'cancelled', completedTasks: 0, runningTasks: 0 };
    const { completed, assigned } = this.counts.of(id);
    const openStatus = assigned + completed > 0 ? 'running' : 'pending';
    const status = job.status === 'open' ? openStatus : job.status;
    return { id, status, completedTasks: completed, runningTasks: assigned };
  }

  /** Returns a job's status: immediately if it is final in the replica, otherwise after a linearizable read. */
  async status(id: string, syncTimeoutMs = SYNC_TIMEOUT_MS): Promise<RequestResult<JobView>> {
    const view = this.view(id);
    if (view !== null && isFinal(view)) return existingJob(view);
    if (this.admission.disconnected) return STATE_STORE_UNAVAILABLE;
    return this.admission.run(() => this.readStatus(id, syncTimeoutMs));
  }

  private async readStatus(id: string, syncTimeoutMs: number): Promise<RequestResult<JobView>> {
    if (!this.stateStore.loaded || !(await this.stateStore.syncReplica(syncTimeoutMs)))
      return STATE_STORE_UNAVAILABLE;
    const view = this.view(id);
    this.logger.debug(
      { jobId: id, status: view?.status ?? 'absent', revision: this.stateStore.revision },
      'job status read',
    );
    return view === null ? { kind: 'not-found' } : existingJob(view);
  }
}
