/**
 * @file Bounds the memory that open jobs can take in a leader. Each controller applies the bound before it accepts a
 * job: an accepted job must run, and the leader, which holds all open jobs, cannot drop any of them.
 */
import { CHUNK_TASKS } from '../../core/records/chunks.js';
import type { JobSpec } from '../../core/model/job.js';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob } from '../../wire/job-record.js';
import { jobKey, parseKey } from '../../wire/keys.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import type { ReplicaEntries, ReplicaEntry } from './replica-view.js';

/** Memory of an open job without its tasks: its record in the replica and its entry in the leader's table. */
const BYTES_PER_JOB = 5 * 1024;
/** Memory of a chunk of completed tasks, in the replica and in the leader, with its share of the job's task sets. */
const BYTES_PER_CHUNK = 256;

/** Returns the most memory that a job can take while it is open, in bytes, however many of its tasks are completed. */
export const openJobBytes = ({ taskCount }: Pick<JobSpec, 'taskCount'>): number =>
  BYTES_PER_JOB + Math.ceil(taskCount / CHUNK_TASKS) * BYTES_PER_CHUNK;

/** The memory of the open jobs of the replica and of those that this controller is about to create. */
export class OpenJobMemory {
  private readonly bytesByJob = new Map<string, number>();
  private totalBytes = 0;

  constructor(
    private readonly stateStore: ReplicaEntries,
    private readonly capacityBytes: number,
    private readonly logger: Logger,
  ) {
    for (const [key, entry] of stateStore.replica) this.update(key, entry);
    stateStore.changes.subscribe(({ key, entry }) => this.update(key, entry));
  }

  /** The most memory that the open jobs can take, in bytes. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Reserves the memory of a job that is to be created. Returns false if there is not enough left. */
  reserve(spec: JobSpec): boolean {
    if (this.bytesByJob.has(spec.id)) return true;
    const bytes = openJobBytes(spec);
    if (this.totalBytes + bytes > this.capacityBytes) {
      const fields = { usedBytes: this.totalBytes, capacityBytes: this.capacityBytes, neededBytes: bytes };
      warnRateLimited(this.logger, fields, 'open jobs take all their memory, refusing jobs');
      return false;
    }
    this.set(spec.id, bytes);
    return true;
  }

  /** Releases a reservation, unless the replica has the job. */
  release(jobId: string): void {
    if (!this.stateStore.replica.has(jobKey(jobId))) this.set(jobId, 0);
  }

  private update(key: string, entry: ReplicaEntry | null): void {
    const parsed = parseKey(key);
    if (parsed.kind === 'job') this.set(parsed.id, entry === null ? 0 : bytesOfRecord(entry.value));
  }

  private set(jobId: string, bytes: number): void {
    this.totalBytes += bytes - (this.bytesByJob.get(jobId) ?? 0);
    if (bytes > 0) this.bytesByJob.set(jobId, bytes);
    else this.bytesByJob.delete(jobId);
  }
}

function bytesOfRecord(value: unknown): number {
  if (value instanceof FinishedJobSummary) return 0;
  const { spec, status } = decodeJob(value);
  return status === 'open' ? openJobBytes(spec) : 0;
}
