import type * as z from 'zod';
import type { CloudInstance, MachineType } from '../core/model/machine.js';
import type { Priority, JobKind, JobSpec } from '../core/model/job.js';
import type { Heartbeat, ReportedTask } from '../core/model/heartbeat.js';
import { seconds, toSeconds } from '../core/model/time.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import * as schemas from './schemas.js';

/** The one place that knows the interfaces' words (`docket`, `rig`, `baton`, …) for the names used inside. */
export const API_PATHS = { jobs: '/work', cancel: 'withdraw', health: '/healthz', report: '/hello' } as const;
/** Paths of the state service. */
export const STATE_STORE_PATHS = {
  keys: '/store',
  commit: '/commit',
  holds: '/holds',
  renew: 'touch',
  follow: '/follow',
} as const;
/** Paths of the cloud. */
export const CLOUD_PATHS = { types: '/flavors', machines: '/machines', remove: '/machines/return' } as const;
/** Paths of a worker's own interface. */
export const WORKER_PATHS = { commands: '/commands', status: '/status' } as const;

const KINDS: Record<z.infer<typeof schemas.submission>['shape'], JobKind> = {
  batch: 'array',
  ensemble: 'gang',
  service: 'service',
};
const PRIORITIES: Record<z.infer<typeof schemas.submission>['precedence'], Priority> = {
  prod: 'production',
  high: 'high',
  normal: 'normal',
  idle: 'low',
};

/** What came of reading a message. */
export type ParseResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

const failure = (e: z.ZodError): { ok: false; reason: string } => {
  const first = e.issues[0];
  return {
    ok: false,
    reason: first === undefined ? 'invalid' : `${first.path.join('.') || 'body'}: ${first.message}`,
  };
};

/** The id of a submission whose other fields may be wrong: a known job gets its state whatever else is in it. */
export function jobIdOf(body: unknown): string | null {
  if (body === null || typeof body !== 'object') return null;
  const ref = (body as Record<string, unknown>)['ref'];
  return typeof ref === 'string' && schemas.JOB_ID.test(ref) ? ref : null;
}

/** Whether a text can be the id of a job. */
export const isJobId = (s: string): boolean => schemas.JOB_ID.test(s);

/** Reads a submission. */
export function parseSubmission(body: unknown): ParseResult<JobSpec> {
  const r = schemas.submission.safeParse(body);
  if (!r.success) return failure(r.error);
  const b = r.data;
  const dependencies = [...new Set(b.awaits ?? [])];
  if (dependencies.includes(b.ref)) return { ok: false, reason: 'awaits: a job cannot wait for itself' };
  return {
    ok: true,
    value: {
      id: b.ref,
      class: b.docket,
      team: b.desk,
      kind: KINDS[b.shape],
      priority: PRIORITIES[b.precedence],
      taskCount: b.tickets,
      cpus: b.vcpus,
      gpus: b.gpus,
      memory: b.memGb,
      machineTypes: b.builds,
      zone: b.hall,
      singleZone: b.oneZone,
      spreadAcrossZones: b.spread,
      allowSpot: b.loaners,
      image: b.bundle,
      imageGb: b.pullGb,
      estimatedDuration: seconds(b.expectedS),
      checkpointInterval: seconds(b.snapshotEveryS),
      checkpointDuration: seconds(b.snapshotS),
      deadline: b.dueS === null ? null : seconds(b.dueS),
      dependencies,
    },
  };
}

const PHASES = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'checkpointing',
  exited: 'exited',
} as const;

/** Reads a worker's report. */
export function parseHeartbeat(body: unknown): ParseResult<Heartbeat> {
  // Hundreds come a second: the plain form is read directly, and what deviates from it in any way goes to the schema.
  const plain = parsePlainHeartbeat(body);
  if (plain !== null) return { ok: true, value: plain };
  const r = schemas.hello.safeParse(body);
  if (!r.success) return failure(r.error);
  return { ok: true, value: reportOf(r.data) };
}

const isCount = (v: unknown): v is number => typeof v === 'number' && v >= 0 && Number.isSafeInteger(v);
const isName = (v: unknown): v is string => typeof v === 'string' && v.length > 0;

/** A report in the form in which nearly all come; null if it has to be looked at more closely. */
function parsePlainHeartbeat(body: unknown): Heartbeat | null {
  if (body === null || typeof body !== 'object') return null;
  const b = body as Record<string, unknown>;
  const { rig, endpoint, build, hall, loaners, shift, tick, baton, tickets } = b;
  const recall = b['recallS'] ?? null;
  if (!isName(rig) || !isName(endpoint) || typeof build !== 'string' || typeof hall !== 'string') return null;
  if (typeof loaners !== 'boolean' || !isCount(shift) || !isCount(tick) || !isCount(baton)) return null;
  if (recall !== null && !(typeof recall === 'number' && recall >= 0 && recall <= schemas.MOST_AMOUNT))
    return null;
  if (!Array.isArray(tickets)) return null;
  const tasks: ReportedTask[] = [];
  for (const t of tickets as unknown[]) {
    if (t === null || typeof t !== 'object') return null;
    const { ticket, try: attempt, standing, cause, saved } = t as Record<string, unknown>;
    if (typeof ticket !== 'string' || !isCount(attempt) || typeof standing !== 'string') return null;
    const state = Object.hasOwn(PHASES, standing) ? PHASES[standing as keyof typeof PHASES] : undefined;
    const cut = ticket.lastIndexOf('/');
    const digits = ticket.slice(cut + 1);
    if (state === undefined || cut < 1 || cut > 200 || !/^[0-9]{1,9}$/.test(digits)) return null;
    if ((cause ?? null) !== null && typeof cause !== 'string') return null;
    if ((saved ?? null) !== null && typeof saved !== 'boolean') return null;
    tasks.push({
      jobId: ticket.slice(0, cut),
      taskIndex: Number(digits),
      attempt,
      state,
      exitReason: typeof cause === 'string' ? cause : null,
      checkpointed: saved === true,
    });
  }
  return {
    machineName: rig,
    endpoint,
    type: build,
    zone: hall,
    spot: loaners,
    agentEpoch: shift,
    sequence: tick,
    fencingToken: baton,
    preemptionNotice: recall === null ? null : seconds(recall),
    tasks,
  };
}

function reportOf(b: z.infer<typeof schemas.hello>): Heartbeat {
  return {
    machineName: b.rig,
    endpoint: b.endpoint,
    type: b.build,
    zone: b.hall,
    spot: b.loaners,
    agentEpoch: b.shift,
    sequence: b.tick,
    fencingToken: b.baton,
    preemptionNotice: b.recallS === null ? null : seconds(b.recallS),
    tasks: b.tickets.map((t): ReportedTask => {
      const cut = t.ticket.lastIndexOf('/');
      return {
        jobId: t.ticket.slice(0, cut),
        taskIndex: Number(t.ticket.slice(cut + 1)),
        attempt: t.try,
        state: PHASES[t.standing],
        exitReason: t.cause,
        checkpointed: t.saved ?? false,
      };
    }),
  };
}

const VERBS = { start: 'run', stop: 'halt', forget: 'forget' } as const;

/** Orders in the words of the workers. */
export function encodeCommands(token: number, list: readonly WorkerCommand[], session?: number): unknown {
  return {
    baton: token,
    shift: session,
    orders: list.map((command) => ({
      verb: VERBS[command.op],
      ticket: `${command.jobId}/${command.taskIndex}`,
      try: command.attempt,
      windDownS: command.op === 'stop' ? (command.gracePeriodS ?? 0) : undefined,
    })),
  };
}

/** Where a worker should report instead. */
export const encodeRedirect = (label: string | null): unknown => (label === null ? {} : { foreman: label });

/** A job's state in the words of its user. */
export type UserJobStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** A job's state as its user gets it. */
export function encodeJobStatus(
  id: string,
  standing: UserJobStatus,
  counts?: { readonly id?: string; readonly done: number; readonly running: number },
): unknown {
  if (counts === undefined) return { ref: id, standing };
  return { ref: id, standing, id: counts.id, done: counts.done, running: counts.running };
}

/** Reads the cloud's machine types. */
export function parseMachineTypes(body: unknown): ParseResult<MachineType[]> {
  const r = schemas.flavors.safeParse(body);
  if (!r.success) return failure(r.error);
  return {
    ok: true,
    value: r.data.builds.map((b) => ({
      name: b.label,
      cpus: b.vcpus,
      gpus: b.gpus,
      memory: b.memGb,
      cacheGb: b.localGb,
      fetchGbPerS: b.fetchGbPerS,
      price: b.rate,
      spotPrice: b.spotPrice,
      bootTime: seconds(b.bootS),
      zones: b.halls,
    })),
  };
}

/** Reads a part of the cloud's list. */
export function parseInventory(body: unknown): ParseResult<{ machines: CloudInstance[]; more: boolean }> {
  const r = schemas.machineList.safeParse(body);
  if (!r.success) return failure(r.error);
  return {
    ok: true,
    value: {
      machines: r.data.rigs.map((m) => ({
        name: m.ref,
        endpoint: m.endpoint,
        type: m.build,
        zone: m.hall,
        spot: m.loaners,
        state: m.standing,
        age: seconds(m.ageS),
      })),
      more: r.data.hasNext,
    },
  };
}

/** A rental request. */
export const encodeScaleOut = (
  name: string,
  o: { type: string; zone: string; spot: boolean; count: number },
): unknown => ({
  hire: name,
  build: o.type,
  hall: o.zone,
  loaners: o.spot,
  number: o.count,
});
/** A request to return machines. */
export const encodeScaleIn = (names: readonly string[]): unknown => ({ rigs: names });
/** The path of the next part of the cloud's list. */
export const inventoryPath = (after: string | null, limit: number): string =>
  `${CLOUD_PATHS.machines}?${after === null ? '' : `from=${encodeURIComponent(after)}&`}page=${limit}`;

/** Spans go into records as seconds, times of day as ISO text. */
export const spanOut = toSeconds;
/** Seconds of a record as a span. */
export const spanIn = seconds;
