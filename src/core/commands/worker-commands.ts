/** @file Builds commands to workers. */
import type { WorkerCommand } from '../model/worker-command.js';

/** What names one attempt of a task. */
type Attempt = Pick<WorkerCommand, 'jobId' | 'taskIndex' | 'attempt'>;

/** Has the worker start the attempt. */
export const startCommand = ({ jobId, taskIndex, attempt }: Attempt): WorkerCommand => ({
  op: 'start',
  jobId,
  taskIndex,
  attempt,
});

/** Has the worker stop the attempt, with so many seconds to write a checkpoint. */
export const stopCommand = ({ jobId, taskIndex, attempt }: Attempt, gracePeriodS: number): WorkerCommand => ({
  op: 'stop',
  jobId,
  taskIndex,
  attempt,
  gracePeriodS,
});

/** Has the worker forget an exited attempt. */
export const forgetCommand = ({ jobId, taskIndex, attempt }: Attempt): WorkerCommand => ({
  op: 'forget',
  jobId,
  taskIndex,
  attempt,
});
