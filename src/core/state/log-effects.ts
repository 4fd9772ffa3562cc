/** @file Log lines of the core. */
import type { LogFields } from '../model/effects.js';
import type { ClusterState } from './cluster-state.js';

/** Requests a log line: a short event text, with the values in fields. */
export function emitLog(
  state: Pick<ClusterState, 'effects'>,
  message: string,
  fields: LogFields,
  level: 'info' | 'debug' = 'debug',
): void {
  state.effects.push({ kind: 'log', level, message, fields });
}
