/**
 * @file Loads the core from the replica at the start of a term. It owns no state; it only dispatches what was
 * recorded in the state store before the term: jobs before pages, because pages refer to jobs.
 */
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { parseKey, zoneRecordKey } from '../../wire/keys.js';
import { decodeJob } from '../../wire/job-record.js';
import { currentTime } from '../runtime/clock.js';
import type { ReplicaEntry } from '../state-store/replica-view.js';
import type { TermContext } from './term-context.js';

/** A page of chunk records in the replica. */
interface RecordedPage {
  readonly id: number;
  readonly entry: ReplicaEntry;
}

/** Dispatches all records that were stored before the term. */
export function loadFromReplica(term: TermContext): void {
  const { stateStore, partition, logger } = term.dependencies;
  const pages: RecordedPage[] = [];
  for (const [key, entry] of stateStore.replica) {
    const parsed = parseKey(key);
    if (parsed.kind === 'job') loadJob(term, parsed.id, entry);
    if (parsed.kind === 'page' && parsed.partition === partition) pages.push({ id: parsed.id, entry });
  }
  for (const page of pages) loadPage(term, page);
  term.dispatch({ kind: 'load-completed' });
  restoreZones(term);
  const { term: termState, jobs } = term.scheduler.state;
  logger.info(
    {
      fencingToken: termState.fencingToken,
      revision: stateStore.revision,
      jobs: jobs.byId.size,
      pages: pages.length,
    },
    'leadership acquired',
  );
}

function loadJob(term: TermContext, id: string, { value, modRevision }: ReplicaEntry): void {
  // Of a finished job without assignments, only the status may still be needed, by the jobs that depend on it.
  if (value instanceof FinishedJobSummary) term.dispatch({ kind: 'job-finished', id, status: value.status });
  else term.dispatch({ kind: 'job-changed', id, record: decodeJob(value), modRevision });
}

function loadPage(term: TermContext, { id, entry }: RecordedPage): void {
  const entries = term.dependencies.pageCache.entriesOf(entry);
  term.dispatch({ kind: 'page-loaded', id, entries, modRevision: entry.modRevision });
}

function restoreZones(term: TermContext): void {
  const { stateStore, partition } = term.dependencies;
  const record = stateStore.replica.get(zoneRecordKey(partition));
  if (record !== undefined) term.scheduler.state.zonePolicy?.restore(record.value, currentTime());
}
