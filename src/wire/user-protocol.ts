/**
 * @file The users' interface: decodes submissions and encodes job states. The names of that interface (`docket`,
 * `desk`, `tickets`, ...) are mapped to the program's own terms in this module and are used nowhere else.
 */
import * as z from 'zod';
import type { JobKind, JobSpec, Priority } from '../core/model/job.js';
import { seconds } from '../core/model/time.js';
import { parseBody, type ParseResult } from './parse-result.js';
import { amount, orNull } from './schema-parts.js';

const JOB_ID = /^req-[0-9]{1,18}$/;

/** Unknown fields are dropped. */
const submission = z.object({
  ref: z.string().regex(JOB_ID),
  docket: z.string().min(1).max(200),
  desk: z.string().min(1).max(200),
  shape: z.enum(['batch', 'ensemble', 'service']),
  precedence: z.enum(['prod', 'high', 'normal', 'idle']),
  tickets: z.number().int().min(1).max(100_000),
  vcpus: amount,
  gpus: amount,
  memGb: amount,
  bundle: z.string().min(1).max(200),
  pullGb: amount,
  builds: orNull(z.array(z.string().min(1).max(200)).min(1).max(64)),
  hall: orNull(z.string().min(1).max(200)),
  oneZone: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  expectedS: amount,
  snapshotEveryS: amount,
  snapshotS: amount,
  dueS: orNull(amount),
  awaits: orNull(z.array(z.string().regex(JOB_ID))),
});
type Submission = z.infer<typeof submission>;

const JOB_KINDS: Record<Submission['shape'], JobKind> = {
  batch: 'array',
  ensemble: 'gang',
  service: 'service',
};
const PRIORITIES: Record<Submission['precedence'], Priority> = {
  prod: 'production',
  high: 'high',
  normal: 'normal',
  idle: 'low',
};

/** True if a text has the form of a job id. */
export const isJobId = (text: string): boolean => JOB_ID.test(text);

/**
 * Returns the job id of a submission whose other fields may be malformed, or null if it has none. For an existing
 * job, the response is the job's state, whatever else the submission contains.
 */
export function jobIdOf(body: unknown): string | null {
  if (body === null || typeof body !== 'object') return null;
  const ref = (body as Record<string, unknown>)['ref'];
  return typeof ref === 'string' && isJobId(ref) ? ref : null;
}

/** Decodes a submission. Does not check whether the cluster can ever run such a job. */
export function parseSubmission(body: unknown): ParseResult<JobSpec> {
  const parsed = parseBody(submission, body, jobSpecOf);
  if (parsed.ok && parsed.value.dependencies.includes(parsed.value.id))
    return { ok: false, reason: 'awaits: a job cannot wait for itself' };
  return parsed;
}

function jobSpecOf(message: Submission): JobSpec {
  return {
    id: message.ref,
    class: message.docket,
    team: message.desk,
    kind: JOB_KINDS[message.shape],
    priority: PRIORITIES[message.precedence],
    taskCount: message.tickets,
    cpus: message.vcpus,
    gpus: message.gpus,
    memory: message.memGb,
    machineTypes: message.builds,
    zone: message.hall,
    singleZone: message.oneZone,
    spreadAcrossZones: message.spread,
    allowSpot: message.loaners,
    image: message.bundle,
    imageGb: message.pullGb,
    estimatedDuration: seconds(message.expectedS),
    checkpointInterval: seconds(message.snapshotEveryS),
    checkpointDuration: seconds(message.snapshotS),
    deadline: message.dueS === null ? null : seconds(message.dueS),
    dependencies: [...new Set(message.awaits ?? [])],
  };
}

/** A job's status under its name in the users' interface. */
export type UserJobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** Numbers of done and running tasks of a job; `id` repeats the job id where the interface requires it. */
export interface TaskTotals {
  readonly id?: string;
  readonly done: number;
  readonly running: number;
}

/** Encodes a job's state; without totals, only its status is included. */
export function encodeJobStatus(jobId: string, status: UserJobStatus, totals?: TaskTotals): unknown {
  if (totals === undefined) return { ref: jobId, standing: status };
  return { ref: jobId, standing: status, id: totals.id, done: totals.done, running: totals.running };
}
