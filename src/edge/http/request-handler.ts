import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { JobRecord, JobSpec } from '../../core/model/job.js';
import type { MachineType } from '../../core/model/machine.js';
import { fitsQuota } from '../../core/state/team-quotas.js';
import type { UserJobStatus } from '../../wire/user-protocol.js';
import { FinishedJobSummary, jobSummaryOf } from '../../wire/finished-job-summary.js';
import { KEY_PREFIX, jobKey, parseKey } from '../../wire/keys.js';
import { decodeJob, encodeJob } from '../../wire/job-record.js';
import { millisecondsSince, monotonicNow } from '../runtime/clock.js';
import { jittered } from '../runtime/jitter.js';
import type { Logger } from '../runtime/logger.js';
import { TaskCounts } from '../state-store/task-counts.js';
import { DependencyIndex } from '../state-store/dependency-index.js';
import type { ReadResult } from '../state-store/state-store-client.js';
import type { StateStore } from '../state-store/state-store.js';
import { DEPENDENCIES_FEATURE, type ControllerVersions } from '../state-store/controller-versions.js';

/** A job as its user sees it. */
export interface JobView {
  readonly id: string;
  readonly status: UserJobStatus;
  readonly done: number;
  readonly running: number;
}

/** `later`: not now, come again after so many seconds. */
export type RequestResult<T> =
  | { readonly kind: 'ok'; readonly value: T; readonly created: boolean }
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly reason: string };

const SUBMIT_LIMIT_MS = 3500;
const POLL_LIMIT_MS = 1500;
const CUT_MS = 3000;
/** Requests that may wait inside at once; more are refused at once. */
const ROOM = 48;

/** What users ask, answered from the followed copy and by guarded writes. Every controller does this. */
export class RequestHandler {
  private inside = 0;
  readonly counts: TaskCounts;
  private readonly dependencies: DependencyIndex;
  machineTypes: readonly MachineType[] = [];

  constructor(
    private readonly stateStore: StateStore,
    private readonly config: Pick<ClusterConfig, 'teams' | 'maxValueBytes'>,
    private readonly versions: Pick<ControllerVersions, 'allSupport'>,
    private readonly logger: Logger,
    /** So little memory is left that nobody more is let in. */
    private readonly tight: () => boolean,
  ) {
    this.counts = new TaskCounts(stateStore);
    this.dependencies = new DependencyIndex(stateStore);
  }

  get ready(): boolean {
    return this.stateStore.loaded && this.machineTypes.length > 0;
  }

  view(id: string): JobView | null {
    const entry = this.stateStore.replica.get(jobKey(id));
    if (entry === undefined) return null;
    const job = jobSummaryOf(entry.value);
    // Cancelled by the fact that a job that it needs was; it had no task then, and has none since.
    if (job.status === 'open' && this.dependencies.isCancelled(id))
      return { id, status: 'cancelled', done: 0, running: 0 };
    const { completed: done, assigned: placed } =
      job.status === 'done' ? { completed: job.taskCount, assigned: 0 } : this.counts.of(id);
    const status = job.status === 'open' ? (placed + done > 0 ? 'running' : 'pending') : job.status;
    return { id, status, done, running: placed };
  }

  /** A job's state: at once if final, else from a copy as fresh as the asking. */
  async status(id: string, limitMs = POLL_LIMIT_MS): Promise<RequestResult<JobView>> {
    const known = this.view(id);
    if (known !== null && (known.status === 'done' || known.status === 'cancelled')) return ok(known);
    if (this.cutOff()) return cut;
    if (this.inside >= ROOM || this.tight()) return busy;
    this.inside += 1;
    try {
      if (!this.stateStore.loaded || !(await this.stateStore.syncReplica(limitMs))) return cut;
      const view = this.view(id);
      this.logger.debug(
        { job: id, standing: view?.status ?? 'absent', rev: this.stateStore.revision },
        'looked at',
      );
      return view === null ? { kind: 'not-found' } : ok(view);
    } finally {
      this.inside -= 1;
    }
  }

  /** Takes a job in. `spec` is null if the body was wrong; a known job gets its state all the same. */
  async submit(id: string, spec: JobSpec | string): Promise<RequestResult<JobView>> {
    if (this.stateStore.replica.has(jobKey(id))) return this.status(id, SUBMIT_LIMIT_MS);
    const reason = typeof spec === 'string' ? spec : (this.neverRuns(spec) ?? this.tooLarge(spec));
    if (reason !== null) return this.never(id, reason);
    if (typeof spec === 'string') return { kind: 'rejected', reason: spec };
    if (this.cutOff()) return cut;
    if (!this.ready)
      return { kind: 'unavailable', retryAfterS: 2, reason: 'machine types are not known yet' };
    if (this.inside >= ROOM || this.tight()) return busy;
    this.inside += 1;
    try {
      const refusal = await this.refuseDependencies(spec);
      return refusal ?? (await this.write(spec));
    } finally {
      this.inside -= 1;
    }
  }

  /** Why a job with such dependencies is not taken in, or not now; null if it may be. */
  private async refuseDependencies(spec: JobSpec): Promise<RequestResult<JobView> | null> {
    const { dependencies } = spec;
    if (dependencies.length === 0) return null;
    if (!this.versions.allSupport(DEPENDENCIES_FEATURE)) return upgrading;
    const found = await Promise.all(dependencies.map((id) => this.findDependency(id)));
    if (found.some((each) => each.kind === 'unread')) return cut;
    for (const [n, each] of found.entries()) {
      const id = dependencies[n] ?? '';
      if (each.kind === 'absent') return this.never(spec.id, `${id} was never accepted`);
      if (each.kind === 'found' && jobSummaryOf(each.value).kind === 'service')
        return this.never(spec.id, `${id} is a service: it is never done`);
    }
    return null;
  }

  /** A job that another waits for: from the copy, or, if it was accepted elsewhere a moment ago, past it. */
  private async findDependency(id: string): Promise<ReadResult> {
    const entry = this.stateStore.replica.get(jobKey(id));
    if (entry !== undefined) return { kind: 'found', value: entry.value };
    return this.stateStore.read(jobKey(id), POLL_LIMIT_MS);
  }

  /** Refuses a submission for good, unless it repeats one that was accepted. */
  private async never(id: string, reason: string): Promise<RequestResult<JobView>> {
    const answer = await this.status(id, SUBMIT_LIMIT_MS);
    return answer.kind === 'not-found' ? { kind: 'rejected', reason } : answer;
  }

  private async write(spec: JobSpec): Promise<RequestResult<JobView>> {
    const began = monotonicNow();
    const record: JobRecord = { spec, submittedAt: new Date(), status: 'open' };
    const key = jobKey(spec.id);
    for (let n = 0; ; n++) {
      const result = await this.stateStore.commit(
        [{ key, modRevision: 0 }],
        [{ kind: 'put', key, value: encodeJob(record) }],
      );
      if (result.kind === 'committed')
        return { kind: 'ok', created: true, value: { id: spec.id, status: 'pending', done: 0, running: 0 } };
      if (result.kind === 'conflict') {
        if (
          !(await this.stateStore.waitForRevision(
            result.revision,
            SUBMIT_LIMIT_MS - millisecondsSince(began),
          ))
        )
          return cut;
        return this.status(spec.id, 1000);
      }
      const pauseMs = jittered(150 * 2 ** n);
      if (millisecondsSince(began) + pauseMs > (result.kind === 'refused' ? 1200 : SUBMIT_LIMIT_MS))
        return cut;
      await new Promise((done) => setTimeout(done, pauseMs));
    }
  }

  /** Cancels a job. The answer is given only when the cancellation, or an earlier end, is committed. */
  async cancel(id: string): Promise<RequestResult<JobView>> {
    const began = monotonicNow();
    for (let n = 0; millisecondsSince(began) < SUBMIT_LIMIT_MS; n++) {
      const seen = this.view(id);
      if (seen !== null && (seen.status === 'done' || seen.status === 'cancelled')) return ok(seen);
      if (this.cutOff()) return cut;
      const e = this.stateStore.replica.get(jobKey(id));
      if (e === undefined || n > 0) {
        const answer = await this.status(id, 1500);
        if (answer.kind !== 'ok' || answer.value.status === 'done' || answer.value.status === 'cancelled')
          return answer;
      }
      const entry = this.stateStore.replica.get(jobKey(id));
      if (entry === undefined) continue;
      // It ended a moment ago: the next round finds that.
      if (entry.value instanceof FinishedJobSummary) continue;
      const record: JobRecord = { ...decodeJob(entry.value), status: 'cancelled' };
      const result = await this.stateStore.commit(
        [{ key: jobKey(id), modRevision: entry.modRevision }],
        [{ kind: 'put', key: jobKey(id), value: encodeJob(record) }],
      );
      if (result.kind === 'committed')
        return { kind: 'ok', created: true, value: { id, status: 'cancelled', done: 0, running: 0 } };
      if (result.kind === 'refused') await new Promise((done) => setTimeout(done, jittered(150 * 2 ** n)));
    }
    return cut;
  }

  /** Nothing has been heard of the state service for so long that a user would only wait in vain. */
  private cutOff(): boolean {
    return millisecondsSince(this.stateStore.lastSyncedAt) > CUT_MS;
  }

  /**
   * Why no record can hold such a job; null if one can. The record must fit whatever becomes of the job: one that fits
   * only while the job is open could neither be cancelled nor, if a job that it needs is cancelled, be closed.
   */
  private tooLarge(spec: JobSpec): string | null {
    const longest: JobRecord = { spec, submittedAt: new Date(), status: 'cancelled' };
    const bytes = Buffer.byteLength(JSON.stringify(encodeJob(longest)));
    return bytes > this.config.maxValueBytes ? 'too large for a record, with the jobs to wait for' : null;
  }

  private neverRuns(spec: JobSpec): string | null {
    if (!this.config.teams.some((team) => team.name === spec.team)) return `unknown team ${spec.team}`;
    if (!fitsQuota(spec, this.config.teams)) return 'more than the limit of its team';
    if (this.machineTypes.length === 0) return null;
    const fits = this.machineTypes.some(
      (type) =>
        (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
        (spec.zone === null || type.zones.includes(spec.zone)) &&
        spec.cpus <= type.cpus &&
        spec.gpus <= type.gpus &&
        spec.memory <= type.memory,
    );
    return fits ? null : 'a task fits no machine type it may use';
  }

  jobCount(): number {
    let n = 0;
    for (const key of this.stateStore.replica.keys())
      if (key.startsWith(KEY_PREFIX) && parseKey(key).kind === 'job') n += 1;
    return n;
  }
}

const ok = (value: JobView): RequestResult<JobView> => ({ kind: 'ok', value, created: false });
const cut: RequestResult<never> = {
  kind: 'unavailable',
  retryAfterS: 1,
  reason: 'the state service does not answer',
};
const upgrading: RequestResult<never> = {
  kind: 'unavailable',
  retryAfterS: 2,
  reason: 'not before all controllers run a version that knows dependencies',
};
const busy: RequestResult<never> = { kind: 'unavailable', retryAfterS: 1, reason: 'too many requests' };
