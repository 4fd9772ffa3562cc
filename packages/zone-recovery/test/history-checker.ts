/** @file Checks the history of the tasks that machines ran. */
import type { HistoryEntry } from './zone-simulation.js';

/** The results of a check. */
export interface Findings {
  /** Tasks that ran on two machines at the same time. */
  readonly duplicates: readonly string[];
  /** Service replicas that were stopped by a command. */
  readonly evicted: readonly string[];
  /** Seconds from each end of a service replica to its next start, ascending. Infinity if it never started again. */
  readonly replacedAfter: readonly number[];
  readonly finished: number;
  readonly maxFetchesPerSecond: number;
  readonly maxStartsPerSecond: number;
}

const jobIdOf = (task: string): string => task.slice(0, task.indexOf('/'));

/** Checks what the machines did, independently of the leader's state. */
export function checkHistory(record: readonly HistoryEntry[], services: ReadonlySet<string>): Findings {
  const machinesByTask = new Map<string, Set<string>>();
  const duplicates: string[] = [];
  const evicted: string[] = [];
  const lostAt = new Map<string, number>();
  const replacedAfter: number[] = [];
  const perSecond = new Map<number, { fetches: number; starts: number }>();
  let finished = 0;
  const countsAt = (at: number): { fetches: number; starts: number } => {
    const key = Math.floor(at);
    const current = perSecond.get(key) ?? { fetches: 0, starts: 0 };
    perSecond.set(key, current);
    return current;
  };
  for (const entry of record) {
    if (entry.kind === 'fetch') countsAt(entry.at).fetches += 1;
    if (entry.kind === 'start') {
      countsAt(entry.at).starts += 1;
      const machines = machinesByTask.get(entry.task) ?? new Set();
      if (machines.size > 0) duplicates.push(`${entry.task} at ${entry.at}`);
      machinesByTask.set(entry.task, machines.add(entry.machine));
      const lossTime = lostAt.get(entry.task);
      if (lossTime !== undefined) replacedAfter.push(entry.at - lossTime);
      lostAt.delete(entry.task);
    }
    if (entry.kind === 'stopped' && services.has(jobIdOf(entry.task)))
      evicted.push(`${entry.task} at ${entry.at}`);
    if (entry.kind === 'end') {
      machinesByTask.get(entry.task)?.delete(entry.machine);
      if (services.has(jobIdOf(entry.task))) lostAt.set(entry.task, entry.at);
      else if (entry.done) finished += 1;
    }
  }
  for (let n = 0; n < lostAt.size; n++) replacedAfter.push(Infinity);
  const counts = [...perSecond.values()];
  return {
    duplicates,
    evicted,
    replacedAfter: replacedAfter.sort((a, b) => a - b),
    finished,
    maxFetchesPerSecond: Math.max(0, ...counts.map(({ fetches }) => fetches)),
    maxStartsPerSecond: Math.max(0, ...counts.map(({ starts }) => starts)),
  };
}
