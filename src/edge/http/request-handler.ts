/**
 * @file Handles user requests on any controller, leader or not: submissions, cancellations and status queries. It
 * connects the modules for these and owns the objects that they share. Jobs are read from the replica, or from the
 * state store if the replica does not contain a dependency, and written by compare-and-swap.
 */
import type { JobSpec } from '../../core/model/job.js';
import type { MachineType } from '../../core/model/machine.js';
import type { Logger } from '../runtime/logger.js';
import type { ControllerVersions } from '../state-store/controller-versions.js';
import { DependencyIndex } from '../state-store/dependency-index.js';
import { OpenJobMemory } from '../state-store/open-job-memory.js';
import type { StateStore } from '../state-store/state-store.js';
import { TaskCounts } from '../state-store/task-counts.js';
import { Cancellations } from './cancellations.js';
import { RequestAdmission } from './request-admission.js';
import type { JobView, RequestResult } from './request-result.js';
import { StatusQueries } from './status-queries.js';
import type { SubmissionLimits } from './submission-checks.js';
import { Submissions } from './submissions.js';

/** Handles user requests. */
export class RequestHandler {
  readonly counts: TaskCounts;
  /** The machine types that the cloud offers; empty until the cloud has listed them. */
  machineTypes: readonly MachineType[] = [];
  private readonly queries: StatusQueries;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;

  constructor(
    private readonly stateStore: StateStore,
    limits: SubmissionLimits,
    versions: Pick<ControllerVersions, 'allSupport'>,
    logger: Logger,
    underMemoryPressure: () => boolean,
    openJobCapacityBytes: number,
  ) {
    this.counts = new TaskCounts(stateStore);
    const dependencies = new DependencyIndex(stateStore);
    const admission = new RequestAdmission(stateStore, underMemoryPressure);
    this.queries = new StatusQueries(stateStore, this.counts, dependencies, admission, logger);
    this.submissions = new Submissions(
      stateStore,
      limits,
      versions,
      this.queries,
      admission,
      new OpenJobMemory(stateStore, openJobCapacityBytes, logger),
      () => this.machineTypes,
    );
    this.cancellations = new Cancellations(stateStore, this.queries, admission, limits.maxValueBytes);
  }

  /** True if jobs can be accepted and looked up. */
  get ready(): boolean {
    return this.stateStore.loaded && this.machineTypes.length > 0;
  }

  /** Returns a job's status, after a linearizable read unless the status is final. */
  status(id: string): Promise<RequestResult<JobView>> {
    return this.queries.status(id);
  }

  /** Accepts or refuses a job. If the body of the request is not a valid submission, `spec` is the reason. */
  submit(id: string, spec: JobSpec | string): Promise<RequestResult<JobView>> {
    return this.submissions.submit(id, spec);
  }

  /** Cancels a job. */
  cancel(id: string): Promise<RequestResult<JobView>> {
    return this.cancellations.cancel(id);
  }
}
