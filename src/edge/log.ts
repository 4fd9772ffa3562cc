import pino from 'pino';

const LEVELS = new Set(['error', 'warn', 'info', 'debug']);

export type Log = pino.Logger;

/** Writes JSON lines to standard error, at once: a process that is killed leaves what it said. */
export function makeLog(label: string): Log {
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
