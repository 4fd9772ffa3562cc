/**
 * @file The structured log: short event names, values in fields, one JSON object a line on standard error. It must not
 * buffer: a process that is killed leaves all that it logged.
 */
import pino from 'pino';
import { millisecondsSince, monotonicNow } from './clock.js';

/** What a field of a log line may hold. */
type LogValue = string | number | boolean | null | readonly LogValue[] | LogFields;

/** The fields of a log line. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

type LogMethod = (fields: LogFields, event: string) => void;

/** The log, by level; pino underneath. */
export interface Logger {
  readonly debug: LogMethod;
  readonly info: LogMethod;
  readonly warn: LogMethod;
  readonly error: LogMethod;
}

const DEFAULT_LEVEL = 'info';
const LEVELS: ReadonlySet<string> = new Set(['error', 'warn', 'info', 'debug']);

/** The log of the controller with this label; `LOG_LEVEL` sets the lowest level that is written. */
export function createLogger(label: string): Logger {
  const level = process.env['LOG_LEVEL'] ?? DEFAULT_LEVEL;
  return pino(
    {
      level: LEVELS.has(level) ? level : DEFAULT_LEVEL,
      base: { label },
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    pino.destination({ fd: 2, sync: true }),
  );
}

/** An event is logged at most once in this time. */
const RATE_LIMIT_MS = 10_000;

interface LoggedEvent {
  readonly loggedAt: bigint;
  /** How often the event came since without being logged. */
  suppressed: number;
}

const lastLogged = new WeakMap<Logger, Map<string, LoggedEvent>>();

/**
 * Warns of what may come in floods, such as malformed messages: each event at most once in `RATE_LIMIT_MS`, with the
 * number of those suppressed in between. Events with different keys are limited separately.
 */
export function warnRateLimited(logger: Logger, fields: LogFields, event: string, key = event): void {
  const events = lastLogged.get(logger) ?? new Map<string, LoggedEvent>();
  lastLogged.set(logger, events);
  const last = events.get(key);
  if (last !== undefined && millisecondsSince(last.loggedAt) < RATE_LIMIT_MS) {
    last.suppressed += 1;
    return;
  }
  logger.warn(last === undefined ? fields : { ...fields, suppressed: last.suppressed }, event);
  events.set(key, { loggedAt: monotonicNow(), suppressed: 0 });
}
