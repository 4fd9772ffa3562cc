/**
 * @file A transaction of the core as the state store takes it: compare conditions and writes. Pure functions; a
 * transaction is encoded once, so that every repeat of it is the same request.
 */
import type { JobTable } from '../../core/state/job-table.js';
import type { PageWrite, Transaction } from '../../core/model/transaction.js';
import { jobKey, pageKey } from '../../wire/keys.js';
import { encodeJob } from '../../wire/job-record.js';
import { encodePage } from '../../wire/page-record.js';
import type { CompareCondition, WriteOperation } from '../../wire/state-store-protocol.js';

/**
 * The conditions of a transaction: this process is the leader under the transaction's fencing token, jobs whose tasks
 * start are unchanged (a cancellation beats a start in flight), and pages are unchanged (a repeat of a transaction that
 * was committed after all changes nothing).
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

/** The writes of a transaction: its pages, and the records of the jobs that it completes or cancels. */
export function encodeWrites(
  transaction: Transaction,
  jobs: Pick<JobTable, 'byId'>,
  partition: string,
  zones: readonly string[],
): WriteOperation[] {
  const pageWrite = ({ id, entries }: PageWrite): WriteOperation => ({
    kind: 'put',
    key: pageKey(partition, id),
    value: encodePage(entries, zones),
  });
  return [
    ...transaction.pages.map(pageWrite),
    ...transaction.completedJobs.flatMap((id) => finishedJobWrite(jobs, id, 'done')),
    ...transaction.cancelledJobs.flatMap((id) => finishedJobWrite(jobs, id, 'cancelled')),
  ];
}

/** The record of a job that has finished; none if the job is not known any more. */
function finishedJobWrite(
  jobs: Pick<JobTable, 'byId'>,
  id: string,
  status: 'done' | 'cancelled',
): WriteOperation[] {
  const job = jobs.byId.get(id);
  if (job === undefined) return [];
  const { spec, submittedAt } = job;
  return [{ kind: 'put', key: jobKey(id), value: encodeJob({ spec, submittedAt, status }) }];
}
