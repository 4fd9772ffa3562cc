import type { ClusterState } from './cluster-state.js';

/** Has a line written to the log. */
export function emitLog(
  state: ClusterState,
  text: string,
  about: Record<string, unknown>,
  level: 'info' | 'debug' = 'debug',
): void {
  state.effects.push({ kind: 'log', level, message: text, fields: about });
}
