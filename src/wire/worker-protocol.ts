/**
 * @file The workers' interface: decodes heartbeats and encodes commands and redirects. The names of that interface
 * (`rig`, `shift`, `tick`, `baton`, ...) are mapped to the program's own terms in this module and are used nowhere
 * else.
 */
import * as z from 'zod';
import type { Heartbeat, ReportedTask } from '../core/model/heartbeat.js';
import { seconds } from '../core/model/time.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import { parseBody, type ParseResult } from './parse-result.js';
import { MAX_AMOUNT, amount, count, orNull } from './schema-parts.js';

/** Paths of a worker's HTTP interface that the controller calls. */
export const WORKER_PATHS = { commands: '/commands' } as const;

const taskName = z.string().regex(/^.{1,200}\/[0-9]{1,9}$/);

/** Unknown fields are dropped. */
const heartbeatMessage = z.object({
  rig: z.string().min(1),
  endpoint: z.string().min(1),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  shift: count,
  tick: count,
  baton: count,
  recallS: orNull(amount),
  tickets: z.array(
    z.object({
      ticket: taskName,
      try: count,
      standing: z.enum(['pulling', 'gathering', 'running', 'saving', 'exited']),
      cause: orNull(z.string()),
      saved: orNull(z.boolean()),
    }),
  ),
});

const TASK_STATES = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'checkpointing',
  exited: 'exited',
} as const;

/** Decodes a heartbeat. */
export function parseHeartbeat(body: unknown): ParseResult<Heartbeat> {
  // Hundreds of heartbeats arrive per second: the plain form is decoded directly, and a body that deviates from it in
  // any way is decoded with the schema.
  const plain = parsePlainHeartbeat(body);
  if (plain !== null) return { ok: true, value: plain };
  return parseBody(heartbeatMessage, body, heartbeatOf);
}

function heartbeatOf(message: z.infer<typeof heartbeatMessage>): Heartbeat {
  return {
    machineName: message.rig,
    endpoint: message.endpoint,
    type: message.build,
    zone: message.hall,
    spot: message.loaners,
    agentEpoch: message.shift,
    sequence: message.tick,
    fencingToken: message.baton,
    preemptionNotice: message.recallS === null ? null : seconds(message.recallS),
    tasks: message.tickets.map((task): ReportedTask => {
      const slash = task.ticket.lastIndexOf('/');
      return {
        jobId: task.ticket.slice(0, slash),
        taskIndex: Number(task.ticket.slice(slash + 1)),
        attempt: task.try,
        state: TASK_STATES[task.standing],
        exitReason: task.cause,
        checkpointed: task.saved ?? false,
      };
    }),
  };
}

const isCount = (v: unknown): v is number => typeof v === 'number' && v >= 0 && Number.isSafeInteger(v);
const isName = (v: unknown): v is string => typeof v === 'string' && v.length > 0;
const isAmount = (v: unknown): v is number => typeof v === 'number' && v >= 0 && v <= MAX_AMOUNT;

/** Decodes a heartbeat in the form that nearly all have; returns null if the schema has to decide. */
// Hundreds of heartbeats per second are decoded here: each field is checked once, without a table or a closure.
// eslint-disable-next-line complexity
function parsePlainHeartbeat(body: unknown): Heartbeat | null {
  if (body === null || typeof body !== 'object') return null;
  const message = body as Record<string, unknown>;
  const { rig, endpoint, build, hall, loaners, shift, tick, baton, tickets } = message;
  const recallS = message['recallS'] ?? null;
  if (!isName(rig) || !isName(endpoint) || typeof build !== 'string' || typeof hall !== 'string') return null;
  if (typeof loaners !== 'boolean' || !isCount(shift) || !isCount(tick) || !isCount(baton)) return null;
  if (recallS !== null && !isAmount(recallS)) return null;
  if (!Array.isArray(tickets)) return null;
  const tasks: ReportedTask[] = [];
  for (const ticket of tickets as unknown[]) {
    const task = parsePlainTask(ticket);
    if (task === null) return null;
    tasks.push(task);
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
    preemptionNotice: recallS === null ? null : seconds(recallS),
    tasks,
  };
}

/** Decodes one task of a heartbeat in the plain form; returns null if the schema has to decide. */
// Written like the function above, because a heartbeat lists dozens of tasks.
// eslint-disable-next-line complexity
function parsePlainTask(message: unknown): ReportedTask | null {
  if (message === null || typeof message !== 'object') return null;
  const { ticket, try: attempt, standing, cause, saved } = message as Record<string, unknown>;
  if (typeof ticket !== 'string' || !isCount(attempt) || typeof standing !== 'string') return null;
  const state = Object.hasOwn(TASK_STATES, standing)
    ? TASK_STATES[standing as keyof typeof TASK_STATES]
    : undefined;
  const slash = ticket.lastIndexOf('/');
  const digits = ticket.slice(slash + 1);
  if (state === undefined || slash < 1 || slash > 200 || !/^[0-9]{1,9}$/.test(digits)) return null;
  if ((cause ?? null) !== null && typeof cause !== 'string') return null;
  if ((saved ?? null) !== null && typeof saved !== 'boolean') return null;
  return {
    jobId: ticket.slice(0, slash),
    taskIndex: Number(digits),
    attempt,
    state,
    exitReason: typeof cause === 'string' ? cause : null,
    checkpointed: saved === true,
  };
}

const COMMAND_VERBS = { start: 'run', stop: 'halt', forget: 'forget' } as const;

/** Encodes commands for one worker. Without an agent epoch, they apply to any agent process that runs there. */
export function encodeCommands(
  fencingToken: number,
  commands: readonly WorkerCommand[],
  agentEpoch?: number,
): unknown {
  return {
    baton: fencingToken,
    shift: agentEpoch,
    orders: commands.map((command) => ({
      verb: COMMAND_VERBS[command.op],
      ticket: `${command.jobId}/${command.taskIndex}`,
      try: command.attempt,
      windDownS: command.op === 'stop' ? (command.gracePeriodS ?? 0) : undefined,
    })),
  };
}

/** Encodes a redirect to the leader, which accepts heartbeats; returns an empty object if `leaderLabel` is null. */
export const encodeRedirect = (leaderLabel: string | null): unknown =>
  leaderLabel === null ? {} : { foreman: leaderLabel };
