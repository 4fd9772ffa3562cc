import * as z from 'zod';
import type { ChunkRecord } from '../core/model/records.js';
import type { PageEntry } from '../core/records/record-pages.js';
import type { JobRecord, JobKind, JobSpec, JobStatus } from '../core/model/job.js';
import { seconds, toSeconds } from '../core/model/time.js';

/**
 * What is kept in the state service. All keys lie under a tenant, so that one service may hold several later on.
 * Records are short: one value must stay below the limit of the state service.
 */
export const TENANT = 'main';
/** What all our keys begin with. */
export const KEY_PREFIX = `${TENANT}/`;
/** The key that says who owns a part. */
export const leaderKey = (part: string): string => `${TENANT}/part/${part}`;
/** The key of a job. */
export const jobKey = (id: string): string => `${TENANT}/job/${id}`;
/** The key of a page of records. */
export const pageKey = (part: string, id: number): string => `${TENANT}/page/${part}/${id}`;

/** What a key stands for. */
export type Key =
  | { readonly kind: 'leader'; readonly partition: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'page'; readonly partition: string; readonly id: number }
  | { readonly kind: 'version'; readonly label: string }
  | { readonly kind: 'other' };

/** Tells what a key stands for. */
export function parseKey(key: string): Key {
  const [, kind, a, b] = key.split('/');
  if (kind === 'part' && a !== undefined) return { kind: 'leader', partition: a };
  if (kind === 'job' && a !== undefined) return { kind: 'job', id: a };
  if (kind === 'page' && a !== undefined && b !== undefined)
    return { kind: 'page', partition: a, id: Number(b) };
  if (kind === 'version' && a !== undefined) return { kind: 'version', label: a };
  return { kind: 'other' };
}

/** The key under which the owner of a part keeps what the next one must know of zones; older versions pass it over. */
export const zoneRecordKey = (part: string): string => `${TENANT}/zones/${part}`;

/** The key under which a controller keeps what its version can do; versions that know no such keys pass them over. */
export const versionKey = (label: string): string => `${TENANT}/version/${label}`;

const versionRecord = z.object({ features: z.array(z.string()) });

/** What a controller's version can do, as it is kept. */
export type VersionRecord = z.infer<typeof versionRecord>;

/** Reads what a controller's version can do; nothing where it cannot be read. */
export const decodeFeatures = (value: unknown): readonly string[] =>
  versionRecord.safeParse(value).data?.features ?? [];

const partRecord = z.object({ label: z.string(), incarnation: z.string() });
/** Who owns a part. */
export type LeaderRecord = z.infer<typeof partRecord>;
/** Reads the record of an owner. */
export const decodeLeader = (v: unknown): LeaderRecord => partRecord.parse(v);

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
    // Absent where there are none: records without dependencies keep the bytes of earlier versions.
    dependencies: z.array(z.string()).optional(),
  }),
});

/**
 * Writes a job's record. Each field is named, in the order of the stored bytes: what is stored must not follow the names
 * used inside.
 */
export function encodeJob({ spec, submittedAt: submitted, status: standing }: JobRecord): unknown {
  const s = {
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
  const at = submitted.toISOString();
  const { dependencies } = spec;
  if (dependencies.length === 0) return { st: standing, at, s };
  return { st: standing, at, s: { ...s, dependencies } };
}

/** What is kept in memory of a job that is over and of which nothing is placed any more. */
export class FinishedJobSummary {
  constructor(
    readonly status: 'done' | 'cancelled',
    readonly kind: JobKind,
    readonly taskCount: number,
  ) {}
}

/** The state of a job by its value in the copy, whether that is its whole record or what is kept of an ended one. */
export function jobSummaryOf(
  value: unknown,
): Pick<FinishedJobSummary, 'kind' | 'taskCount'> & { readonly status: JobStatus } {
  if (value instanceof FinishedJobSummary) return value;
  const { spec, status } = decodeJob(value);
  return { status, kind: spec.kind, taskCount: spec.taskCount };
}

const parsed = new WeakMap<object, JobRecord>();

/** A job's record. It is read for every question about the job, so each value is taken apart once. */
export function decodeJob(v: unknown): JobRecord {
  const key = typeof v === 'object' ? v : null;
  const known = key === null ? undefined : parsed.get(key);
  if (known !== undefined) return known;
  const record = parseJob(v);
  if (key !== null) parsed.set(key, record);
  return record;
}

function parseJob(v: unknown): JobRecord {
  const { st, at, s } = jobRecord.parse(v);
  const spec: JobSpec = {
    id: s.id,
    class: s.class,
    team: s.team,
    kind: s.kind,
    priority: s.priority,
    taskCount: s.tasks,
    cpus: s.cpus,
    gpus: s.gpus,
    memory: s.memory,
    machineTypes: s.types,
    zone: s.zone,
    singleZone: s.oneZone,
    spreadAcrossZones: s.spread,
    allowSpot: s.spot,
    image: s.image,
    imageGb: s.imageGb,
    estimatedDuration: seconds(s.estimate),
    checkpointInterval: seconds(s.checkpoint),
    checkpointDuration: seconds(s.save),
    deadline: s.due === null ? null : seconds(s.due),
    dependencies: s.dependencies ?? [],
  };
  return { spec, submittedAt: new Date(at), status: st };
}

/** Whether a value can be what its key says. Pages are taken apart only by who needs them. */
export function isDecodable(key: string, value: unknown): boolean {
  const k = parseKey(key);
  try {
    if (k.kind === 'job') decodeJob(value);
    if (k.kind === 'leader') decodeLeader(value);
  } catch {
    return false;
  }
  return k.kind !== 'page' || typeof value === 'string';
}

/** Done tasks are kept as runs [first, last]. */
function runs(done: readonly number[]): [number, number][] {
  const out: [number, number][] = [];
  for (const t of done) {
    const last = out[out.length - 1];
    if (last !== undefined && last[1] === t - 1) last[1] = t;
    else out.push([t, t]);
  }
  return out;
}

/** Names go into pages with whatever would end them escaped. */
const nameOut = (s: string): string =>
  encodeURIComponent(s).replace(/[.!'()*~]/g, (c) => `%${c.charCodeAt(0).toString(16).toUpperCase()}`);

const written = new WeakMap<ChunkRecord, Map<string, string>>();

/**
 * A page is one text, since hundreds of places a second go through it and it must stay short: zone names, then one
 * entry a chunk, `job/index a<highest attempt> c<done>,<placed> <done runs> <places>`, a place being
 * `task.attempt.machine.session.zone`, with the zone as its number in the first line.
 */
export function encodePage(entries: readonly PageEntry[], zones: readonly string[]): string {
  const names = [...zones];
  const zoneOf = (name: string): number => {
    const at = names.indexOf(name);
    return at >= 0 ? at : names.push(name) - 1;
  };
  const rows = entries.map((entry) => {
    // Only what changed since the last write is put into words again.
    const texts = written.get(entry.record) ?? new Map<string, string>();
    written.set(entry.record, texts);
    const cached = texts.get(zones.join());
    if (cached !== undefined) return cached;
    const done = runs(entry.record.completedTasks)
      .map(([a, b]) => (a === b ? String(a) : `${a}-${b}`))
      .join(',');
    const known = names.length;
    const places = entry.record.assignments
      .map((i) => `${i.taskIndex}.${i.attempt}.${nameOut(i.machineName)}.${i.agentEpoch}.${zoneOf(i.zone)}`)
      .join(',');
    const row = `${entry.jobId}/${entry.chunkIndex} a${entry.record.highestAttempt} c${entry.record.completedTasks.length},${entry.record.assignments.length} ${done} ${places}`;
    // A row with a zone of its own is good for this page alone.
    if (names.length === known && known === zones.length) texts.set(zones.join(), row);
    return row;
  });
  return [names.map(nameOut).join(','), ...rows].join('|');
}

const ROW = /^([^/ ]+)\/(\d+) a(\d+) c(\d+),(\d+) ([\d,-]*) (.*)$/;

/** Reads a page of records. */
export function decodePage(v: unknown): PageEntry[] {
  if (typeof v !== 'string') throw new Error('a page is not text');
  const [head = '', ...rows] = v.split('|');
  const zones = head === '' ? [] : head.split(',').map(decodeURIComponent);
  return rows.map((row) => {
    const m = ROW.exec(row);
    if (m === null) throw new Error(`a page has an entry that cannot be read: ${row.slice(0, 40)}`);
    const done: number[] = [];
    for (const run of m[6] === '' ? [] : (m[6] ?? '').split(',')) {
      const [a = 0, b = a] = run.split('-').map(Number);
      for (let t = a; t <= b; t++) done.push(t);
    }
    const intents = (m[7] === '' ? [] : (m[7] ?? '').split(',')).map((p) => {
      const [task, attempt, machine, session, zone] = p.split('.');
      return {
        taskIndex: Number(task),
        attempt: Number(attempt),
        machineName: decodeURIComponent(machine ?? ''),
        agentEpoch: Number(session),
        zone: zones[Number(zone)] ?? '',
      };
    });
    return {
      jobId: m[1] ?? '',
      chunkIndex: Number(m[2]),
      record: { highestAttempt: Number(m[3]), completedTasks: done, assignments: intents },
    };
  });
}

/** How many tasks of which jobs a page tells of, without taking it apart. */
export function taskCountsIn(
  v: unknown,
): { readonly job: string; readonly done: number; readonly placed: number }[] {
  if (typeof v !== 'string') return [];
  const out: { job: string; done: number; placed: number }[] = [];
  for (let at = v.indexOf('|'); at >= 0; at = v.indexOf('|', at + 1)) {
    const m = /^([^/ ]+)\/\d+ a\d+ c(\d+),(\d+) /.exec(v.slice(at + 1, at + 80));
    if (m !== null) out.push({ job: m[1] ?? '', done: Number(m[2]), placed: Number(m[3]) });
  }
  return out;
}
