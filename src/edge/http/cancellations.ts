/** @file Cancels jobs by compare-and-swap of their records. The leader stops the tasks; nothing is stopped here. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { JobRecord } from '../../core/model/job.js';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob, encodeFinishedJob } from '../../wire/job-record.js';
import { jobKey } from '../../wire/keys.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import type { StateStore } from '../state-store/state-store.js';
import type { RequestAdmission } from './request-admission.js';
import {
  STATE_STORE_UNAVAILABLE,
  changedJob,
  existingJob,
  isFinal,
  type JobView,
  type RequestResult,
} from './request-result.js';
import type { StatusQueries } from './status-queries.js';

const CANCELLATION_TIMEOUT_MS = 3500;
const STATUS_TIMEOUT_MS = 1500;
const RETRY_BASE_MS = 150;

/** Cancels jobs. */
export class Cancellations {
  constructor(
    private readonly stateStore: StateStore,
    private readonly queries: StatusQueries,
    private readonly admission: RequestAdmission,
    private readonly maxValueBytes: number,
  ) {}

  /** Cancels a job. Returns success only once the cancellation, or an earlier end of the job, is committed. */
  async cancel(id: string): Promise<RequestResult<JobView>> {
    const startedAt = monotonicNow();
    for (let retries = 0; millisecondsSince(startedAt) < CANCELLATION_TIMEOUT_MS; retries++) {
      const view = this.queries.view(id);
      if (view !== null && isFinal(view)) return existingJob(view);
      if (this.admission.disconnected) return STATE_STORE_UNAVAILABLE;
      if (retries > 0 || !this.stateStore.replica.has(jobKey(id))) {
        const current = await this.queries.status(id, STATUS_TIMEOUT_MS);
        if (current.kind !== 'ok' || isFinal(current.value)) return current;
      }
      const result = await this.commitCancellation(id);
      if (result === 'committed') return changedJob(id, 'cancelled');
      if (result === 'refused') await sleep(jittered(RETRY_BASE_MS * 2 ** retries));
    }
    return STATE_STORE_UNAVAILABLE;
  }

  /** Returns `retry` if the record has changed in the meantime, or if it is unknown whether the commit was applied. */
  private async commitCancellation(id: string): Promise<'committed' | 'refused' | 'retry'> {
    const key = jobKey(id);
    const entry = this.stateStore.replica.get(key);
    // If the job has just ended, the next iteration of the loop returns its final status.
    if (entry === undefined || entry.value instanceof FinishedJobSummary) return 'retry';
    const record: JobRecord = { ...decodeJob(entry.value), status: 'cancelled' };
    const result = await this.stateStore.commit(
      [{ key, modRevision: entry.modRevision }],
      [{ kind: 'put', key, value: encodeFinishedJob(record, this.maxValueBytes) }],
    );
    return result.kind === 'committed' || result.kind === 'refused' ? result.kind : 'retry';
  }
}
