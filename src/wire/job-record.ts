/**
 * @file The record of a job: its spec, its submission time and its status. Every stored field is named here, in the
 * order of the stored bytes. Stored names must not change when names in the code change, because controllers of
 * several versions share the records during an upgrade.
 */
import * as z from 'zod';
import type { JobRecord, JobSpec } from '../core/model/job.js';
import { seconds, toSeconds } from '../core/model/time.js';
import { MalformedRecordError } from './errors.js';

const jobRecord = z.object({
  st: z.enum(['open', 'cancelled', 'done']),
  at: z.string(),
  s: z.object({
    id: z.string(),
    class: z.string(),
    team: z.string(),
    kind: z.enum(['array', 'gang', 'service']),
    priority: z.enum(['low', 'normal', 'high', 'production']),
    tasks: z.number(),
    cpus: z.number(),
    gpus: z.number(),
    memory: z.number(),
    types: z.array(z.string()).nullable(),
    zone: z.string().nullable(),
    oneZone: z.boolean(),
    spread: z.boolean(),
    spot: z.boolean(),
    image: z.string(),
    imageGb: z.number(),
    estimate: z.number(),
    checkpoint: z.number(),
    save: z.number(),
    due: z.number().nullable(),
    // Absent if the job has no dependencies, so that such records keep the bytes of earlier versions.
    dependencies: z.array(z.string()).optional(),
  }),
});
type StoredJob = z.infer<typeof jobRecord>;

/** Encodes a job's record. */
export function encodeJob({ spec, submittedAt, status }: JobRecord): unknown {
  const stored = {
    id: spec.id,
    class: spec.class,
    team: spec.team,
    kind: spec.kind,
    priority: spec.priority,
    tasks: spec.taskCount,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memory: spec.memory,
    types: spec.machineTypes,
    zone: spec.zone,
    oneZone: spec.singleZone,
    spread: spec.spreadAcrossZones,
    spot: spec.allowSpot,
    image: spec.image,
    imageGb: spec.imageGb,
    estimate: toSeconds(spec.estimatedDuration),
    checkpoint: toSeconds(spec.checkpointInterval),
    save: toSeconds(spec.checkpointDuration),
    due: spec.deadline === null ? null : toSeconds(spec.deadline),
  };
  const at = submittedAt.toISOString();
  const { dependencies } = spec;
  if (dependencies.length === 0) return { st: status, at, s: stored };
  return { st: status, at, s: { ...stored, dependencies } };
}

/** Returns the size of a stored value as the state store counts it, in bytes. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * Encodes the record of a job that is done or cancelled, in at most `maxBytes`. A record that an earlier version wrote
 * under a larger limit may be longer: then the fields of unbounded length are left empty. They only decide where tasks
 * are placed, and a finished job gets no more.
 */
export function encodeFinishedJob(record: JobRecord, maxBytes: number): unknown {
  const complete = encodeJob(record);
  if (storedBytes(complete) <= maxBytes) return complete;
  const spec: JobSpec = { ...record.spec, class: '', machineTypes: null, image: '', imageGb: 0 };
  return encodeJob({ ...record, spec });
}

/** Caches decoded records by stored value, because every lookup of a job needs its record. */
const decodedRecords = new WeakMap<object, JobRecord>();

/** Decodes a job's record, each value only once; throws {@link MalformedRecordError} if it is malformed. */
export function decodeJob(value: unknown): JobRecord {
  const cacheKey = typeof value === 'object' ? value : null;
  const cached = cacheKey === null ? undefined : decodedRecords.get(cacheKey);
  if (cached !== undefined) return cached;
  const parsed = jobRecord.safeParse(value);
  if (!parsed.success) throw new MalformedRecordError('job', parsed.error.message, { cause: parsed.error });
  const record = jobRecordOf(parsed.data);
  if (cacheKey !== null) decodedRecords.set(cacheKey, record);
  return record;
}

function jobRecordOf({ st: status, at, s: stored }: StoredJob): JobRecord {
  const spec: JobSpec = {
    id: stored.id,
    class: stored.class,
    team: stored.team,
    kind: stored.kind,
    priority: stored.priority,
    taskCount: stored.tasks,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memory: stored.memory,
    machineTypes: stored.types,
    zone: stored.zone,
    singleZone: stored.oneZone,
    spreadAcrossZones: stored.spread,
    allowSpot: stored.spot,
    image: stored.image,
    imageGb: stored.imageGb,
    estimatedDuration: seconds(stored.estimate),
    checkpointInterval: seconds(stored.checkpoint),
    checkpointDuration: seconds(stored.save),
    deadline: stored.due === null ? null : seconds(stored.due),
    dependencies: stored.dependencies ?? [],
  };
  return { spec, submittedAt: new Date(at), status };
}
