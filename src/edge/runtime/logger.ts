import pino from 'pino';
import { millisecondsSince, monotonicNow } from './clock.js';

const LEVELS = new Set(['error', 'warn', 'info', 'debug']);

/** The structured log. */
export type Logger = pino.Logger;

/** Writes JSON lines to standard error, at once: a process that is killed leaves what it said. */
export function createLogger(label: string): Logger {
  const wanted = process.env['LOG_LEVEL'] ?? 'info';
  return pino(
    {
      level: LEVELS.has(wanted) ? wanted : 'info',
      base: { label },
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    pino.destination({ fd: 2, sync: true }),
  );
}

const SPARSE_MS = 10_000;
const lately = new WeakMap<Logger, Map<string, { at: bigint; passedOver: number }>>();

/** Warns of what may come in floods, such as messages that cannot be read: each text once in a while, with a count. */
export function warnRateLimited(logger: Logger, about: Record<string, unknown>, text: string): void {
  const texts = lately.get(logger) ?? new Map<string, { at: bigint; passedOver: number }>();
  lately.set(logger, texts);
  const last = texts.get(text);
  if (last !== undefined && millisecondsSince(last.at) < SPARSE_MS) {
    last.passedOver += 1;
    return;
  }
  logger.warn(last === undefined ? about : { ...about, passedOver: last.passedOver }, text);
  texts.set(text, { at: monotonicNow(), passedOver: 0 });
}
