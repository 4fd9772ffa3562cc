/** @file Builds commands to workers. */
import type { WorkerCommand } from '../model/worker-command.js';

/** Identifies one attempt of a task. */
type Attempt = Pick<WorkerCommand, 'jobId' | 'taskIndex' | 'attempt'>;

/** Builds the command to start an attempt. */
export const startCommand = ({ jobId, taskIndex, attempt }: Attempt): WorkerCommand => ({
  op: 'start',
  jobId,
  taskIndex,
  attempt,
});

/** Builds the command to stop an attempt, with `gracePeriodS` seconds to write a checkpoint. */
export const stopCommand = ({ jobId, taskIndex, attempt }: Attempt, gracePeriodS: number): WorkerCommand => ({
  op: 'stop',
  jobId,
  taskIndex,
  attempt,
  gracePeriodS,
});

/** Builds the command to forget an exited attempt. */
export const forgetCommand = ({ jobId, taskIndex, attempt }: Attempt): WorkerCommand => ({
  op: 'forget',
  jobId,
  taskIndex,
  attempt,
});
