import { z } from 'zod';
import type { ChunkImage } from '../core/jobs.js';
import type { JobRecord, Spec } from '../core/model.js';
import { seconds, toSeconds } from '../core/time.js';

/**
 * What is kept in the state service. All keys lie under a tenant, so that one service may hold several later on.
 * Records are short: one value must stay below the limit of the state service.
 */
export const TENANT = 'main';
export const ROOT = `${TENANT}/`;
export const partKey = (part: string): string => `${TENANT}/part/${part}`;
export const jobKey = (id: string): string => `${TENANT}/job/${id}`;
export const chunkKey = (id: string, index: number): string => `${TENANT}/run/${id}/${index}`;

export type Key =
  | { readonly kind: 'part'; readonly part: string }
  | { readonly kind: 'job'; readonly id: string }
  | { readonly kind: 'chunk'; readonly job: string; readonly index: number }
  | { readonly kind: 'other' };

export function parseKey(key: string): Key {
  const [, kind, a, b] = key.split('/');
  if (kind === 'part' && a !== undefined) return { kind: 'part', part: a };
  if (kind === 'job' && a !== undefined) return { kind: 'job', id: a };
  if (kind === 'run' && a !== undefined && b !== undefined)
    return { kind: 'chunk', job: a, index: Number(b) };
  return { kind: 'other' };
}

const partRecord = z.object({ label: z.string(), incarnation: z.string() });
export type PartRecord = z.infer<typeof partRecord>;
export const readPart = (v: unknown): PartRecord => partRecord.parse(v);

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
  }),
});

export function writeJob(r: JobRecord): unknown {
  const s = r.spec;
  return {
    st: r.standing,
    at: r.submitted.toISOString(),
    s: {
      ...s,
      estimate: toSeconds(s.estimate),
      checkpoint: toSeconds(s.checkpoint),
      save: toSeconds(s.save),
      due: s.due === null ? null : toSeconds(s.due),
    },
  };
}

export function readJob(v: unknown): JobRecord {
  const r = jobRecord.parse(v);
  const spec: Spec = {
    ...r.s,
    estimate: seconds(r.s.estimate),
    checkpoint: seconds(r.s.checkpoint),
    save: seconds(r.s.save),
    due: r.s.due === null ? null : seconds(r.s.due),
  };
  return { spec, submitted: new Date(r.at), standing: r.st };
}

const chunkRecord = z.object({
  a: z.number(),
  d: z.array(z.tuple([z.number(), z.number()])),
  i: z.array(z.tuple([z.number(), z.number(), z.string(), z.number(), z.string()])),
});

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

export function writeChunk(c: ChunkImage): unknown {
  return {
    a: c.attempt,
    d: runs(c.done),
    i: c.intents.map((i) => [i.task, i.attempt, i.machine, i.session, i.zone]),
  };
}

export function readChunk(v: unknown): ChunkImage {
  const r = chunkRecord.parse(v);
  const done: number[] = [];
  for (const [a, b] of r.d) for (let t = a; t <= b; t++) done.push(t);
  return {
    attempt: r.a,
    done,
    intents: r.i.map(([task, attempt, machine, session, zone]) => ({
      task,
      attempt,
      machine,
      session,
      zone,
    })),
  };
}
