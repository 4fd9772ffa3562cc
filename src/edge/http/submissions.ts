/**
 * @file Accepts jobs: checks a submission and creates the job's record by compare-and-swap. Submissions are idempotent:
 * if the job already exists, its status is returned, even if the repeated submission is invalid.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { JobRecord, JobSpec } from '../../core/model/job.js';
import type { MachineType } from '../../core/model/machine.js';
import { encodeJob } from '../../wire/job-record.js';
import { jobKey } from '../../wire/keys.js';
import { jobSummaryOf } from '../../wire/finished-job-summary.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import { DEPENDENCIES_FEATURE, type ControllerVersions } from '../state-store/controller-versions.js';
import type { ReadResult } from '../state-store/state-store-client.js';
import type { OpenJobMemory } from '../state-store/open-job-memory.js';
import type { StateStore } from '../state-store/state-store.js';
import type { RequestAdmission } from './request-admission.js';
import {
  MACHINE_TYPES_UNKNOWN,
  STATE_STORE_UNAVAILABLE,
  TOO_MANY_OPEN_JOBS,
  UPGRADE_IN_PROGRESS,
  changedJob,
  type JobView,
  type RequestResult,
} from './request-result.js';
import type { StatusQueries } from './status-queries.js';
import { rejectionReason, type SubmissionLimits } from './submission-checks.js';

/** Upper bound on the time for a whole submission, because its user waits for it. */
const SUBMISSION_TIMEOUT_MS = 3500;
/** A commit that the state store refuses is not retried for longer than this. */
const REFUSED_TIMEOUT_MS = 1200;
const RETRY_BASE_MS = 150;
const DEPENDENCY_READ_TIMEOUT_MS = 1500;
const EXISTING_STATUS_TIMEOUT_MS = 1000;

/** Accepts or refuses jobs. */
export class Submissions {
  constructor(
    private readonly stateStore: StateStore,
    private readonly limits: SubmissionLimits,
    private readonly versions: Pick<ControllerVersions, 'allSupport'>,
    private readonly queries: StatusQueries,
    private readonly admission: RequestAdmission,
    private readonly openJobs: OpenJobMemory,
    private readonly machineTypes: () => readonly MachineType[],
  ) {}

  /** Accepts or refuses a job. If the body of the request is not a valid submission, `spec` is the reason. */
  async submit(id: string, spec: JobSpec | string): Promise<RequestResult<JobView>> {
    if (this.stateStore.replica.has(jobKey(id))) return this.queries.status(id, SUBMISSION_TIMEOUT_MS);
    if (typeof spec === 'string') return this.reject(id, spec);
    const reason = rejectionReason(spec, this.limits, this.machineTypes());
    if (reason !== null) return this.reject(id, reason);
    if (this.admission.disconnected) return STATE_STORE_UNAVAILABLE;
    if (!this.stateStore.loaded || this.machineTypes().length === 0) return MACHINE_TYPES_UNKNOWN;
    return this.admission.run(
      async () => (await this.checkDependencies(spec)) ?? (await this.createWithinMemory(spec)),
    );
  }

  /** Creates the job's record if the leader has memory for the job beside all other open ones. */
  private async createWithinMemory(spec: JobSpec): Promise<RequestResult<JobView>> {
    if (!this.openJobs.reserve(spec)) return TOO_MANY_OPEN_JOBS;
    const result = await this.create(spec);
    // A created job may not be in the replica yet, so its reservation stays.
    if (result.kind !== 'ok') this.openJobs.release(spec.id);
    return result;
  }

  /** Returns why a job with these dependencies is refused, permanently or for now, or null if it is not refused. */
  private async checkDependencies(spec: JobSpec): Promise<RequestResult<JobView> | null> {
    const { dependencies } = spec;
    if (dependencies.length === 0) return null;
    if (!this.versions.allSupport(DEPENDENCIES_FEATURE)) return UPGRADE_IN_PROGRESS;
    const reads = await Promise.all(dependencies.map((id) => this.readDependency(id)));
    if (reads.some((read) => read.kind === 'unread')) return STATE_STORE_UNAVAILABLE;
    for (const [index, read] of reads.entries()) {
      const id = dependencies[index] ?? '';
      if (read.kind === 'absent') return this.reject(spec.id, `${id} was never accepted`);
      if (read.kind === 'found' && jobSummaryOf(read.value).kind === 'service')
        return this.reject(spec.id, `${id} is a service: it is never done`);
    }
    return null;
  }

  /**
   * Reads a dependency from the replica or, if the replica does not contain it, from the state store, because another
   * controller may have accepted it only a moment ago.
   */
  private async readDependency(id: string): Promise<ReadResult> {
    const entry = this.stateStore.replica.get(jobKey(id));
    if (entry !== undefined) return { kind: 'found', value: entry.value };
    return this.stateStore.read(jobKey(id), DEPENDENCY_READ_TIMEOUT_MS);
  }

  /** Rejects a submission permanently, unless it repeats one that was accepted. */
  private async reject(id: string, reason: string): Promise<RequestResult<JobView>> {
    const existing = await this.queries.status(id, SUBMISSION_TIMEOUT_MS);
    return existing.kind === 'not-found' ? { kind: 'rejected', reason } : existing;
  }

  /**
   * Creates the job's record. Repeating the commit is safe, because its compare condition holds only while there is no
   * record.
   */
  private async create(spec: JobSpec): Promise<RequestResult<JobView>> {
    const startedAt = monotonicNow();
    const record: JobRecord = { spec, submittedAt: new Date(), status: 'open' };
    const key = jobKey(spec.id);
    for (let retries = 0; ; retries++) {
      const result = await this.stateStore.commit(
        [{ key, modRevision: 0 }],
        [{ kind: 'put', key, value: encodeJob(record) }],
      );
      if (result.kind === 'committed') return changedJob(spec.id, 'pending');
      if (result.kind === 'conflict')
        return this.existingStatus(
          spec.id,
          result.revision,
          SUBMISSION_TIMEOUT_MS - millisecondsSince(startedAt),
        );
      const pauseMs = jittered(RETRY_BASE_MS * 2 ** retries);
      const timeoutMs = result.kind === 'refused' ? REFUSED_TIMEOUT_MS : SUBMISSION_TIMEOUT_MS;
      if (millisecondsSince(startedAt) + pauseMs > timeoutMs) return STATE_STORE_UNAVAILABLE;
      await sleep(pauseMs);
    }
  }

  /** Returns the status of a job whose record already existed, at a revision that the replica may not have reached. */
  private async existingStatus(
    id: string,
    revision: number,
    timeoutMs: number,
  ): Promise<RequestResult<JobView>> {
    const reached = await this.stateStore.waitForRevision(revision, timeoutMs);
    return reached ? this.queries.status(id, EXISTING_STATUS_TIMEOUT_MS) : STATE_STORE_UNAVAILABLE;
  }
}
