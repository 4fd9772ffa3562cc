/**
 * @file Encodes a transaction of the core as compare conditions and writes for the state store. Pure functions; a
 * transaction is encoded only once, so that every retry sends the same request.
 */
import type { JobTable } from '../../core/state/job-table.js';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import type { PageWrite, Transaction } from '../../core/model/transaction.js';
import { jobKey, pageKey } from '../../wire/keys.js';
import { encodeFinishedJob } from '../../wire/job-record.js';
import { encodePage } from '../../wire/page-record.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';

/**
 * Returns the conditions of a transaction: this process is the leader under the transaction's fencing token; jobs
 * whose tasks start are unchanged, so that a cancellation takes precedence over a start in flight; and pages are
 * unchanged, so that retrying a transaction that was already committed changes nothing.
 */
export function encodeConditions(
  transaction: Transaction,
  leaderCondition: CompareCondition,
  partition: string,
): CompareCondition[] {
  const conditions = [leaderCondition];
  for (const [id, modRevision] of transaction.jobConditions)
    conditions.push({ key: jobKey(id), modRevision });
  for (const { id, modRevision } of transaction.pages)
    conditions.push({ key: pageKey(partition, id), modRevision });
  return conditions;
}

/** Returns the writes of a transaction: its pages, and the records of the jobs that it completes or cancels. */
export function encodeWrites(
  transaction: Transaction,
  jobs: Pick<JobTable, 'byId'>,
  partition: string,
  { zones, maxValueBytes }: Pick<ClusterConfig, 'zones' | 'maxValueBytes'>,
): WriteOperation[] {
  const finishedJobWrites = (ids: readonly string[], status: 'done' | 'cancelled'): WriteOperation[] =>
    ids.flatMap((id) => finishedJobWrite(jobs, id, status, maxValueBytes));
  const pageWrite = ({ id, entries }: PageWrite): WriteOperation => ({
    kind: 'put',
    key: pageKey(partition, id),
    value: encodePage(entries, zones),
  });
  return [
    ...transaction.pages.map(pageWrite),
    ...finishedJobWrites(transaction.completedJobs, 'done'),
    ...finishedJobWrites(transaction.cancelledJobs, 'cancelled'),
  ];
}

/** Returns the write of the record of a finished job, or none if the core no longer stores the job. */
function finishedJobWrite(
  jobs: Pick<JobTable, 'byId'>,
  id: string,
  status: 'done' | 'cancelled',
  maxValueBytes: number,
): WriteOperation[] {
  const job = jobs.byId.get(id);
  if (job === undefined) return [];
  const { spec, submittedAt } = job;
  const value = encodeFinishedJob({ spec, submittedAt, status }, maxValueBytes);
  return [{ kind: 'put', key: jobKey(id), value }];
}
