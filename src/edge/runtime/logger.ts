/**
 * @file The structured log: short event names, values in fields, one JSON object per line on standard error. It must
 * not buffer, so that a killed process leaves every line that it logged.
 */
import pino from 'pino';
import { millisecondsSince, monotonicNow } from './clock.js';

/** The value of a field of a log line. */
type LogValue = string | number | boolean | null | readonly LogValue[] | LogFields;

/** The fields of a log line. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

type LogMethod = (fields: LogFields, event: string) => void;

/** The log methods by level, implemented by pino. */
export interface Logger {
  readonly debug: LogMethod;
  readonly info: LogMethod;
  readonly warn: LogMethod;
  readonly error: LogMethod;
}

const DEFAULT_LEVEL = 'info';
const LEVELS: ReadonlySet<string> = new Set(['error', 'warn', 'info', 'debug']);

/**
 * Creates the log of the controller with this label. The environment variable `LOG_LEVEL` sets the lowest level that is
 * written.
 */
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

/** A rate-limited event is logged at most once in this time. */
const RATE_LIMIT_MS = 10_000;

interface LoggedEvent {
  readonly loggedAt: bigint;
  /** How often the event has occurred since then without being logged. */
  suppressed: number;
}

const lastLogged = new WeakMap<Logger, Map<string, LoggedEvent>>();

/**
 * Logs a warning about an event that may occur very often, such as a malformed message. Each event is logged at most
 * once in `RATE_LIMIT_MS`, with the number of suppressed occurrences in between. Events with different keys are limited
 * separately.
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
