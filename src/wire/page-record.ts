/**
 * @file The record of a page of chunks. A page is a single string, because hundreds of assignments per second go
 * through it and it must stay short. Its sections are separated by `|`: the zone names, then one row per chunk,
 * `job/chunk a<highest attempt> c<completed>,<assigned> <completed runs> <assignments>`. An assignment is
 * `task.attempt.machine.epoch.zone`, with the zone as its index in the first section.
 */
import type { AssignmentRecord, ChunkRecord, PageEntry } from '../core/model/records.js';
import type { TaskRange } from '../core/model/task-set.js';
import { MalformedRecordError } from './errors.js';

/** Upper bound on the characters of a malformed row or name that an error shows. */
const MAX_SHOWN_CHARACTERS = 40;

/** Encodes completed tasks as runs `first-last`, or `first` for a single task. */
const encodeRuns = (ranges: readonly TaskRange[]): string =>
  ranges.map(({ first, last }) => (first === last ? String(first) : `${first}-${last}`)).join(',');

const decodeRuns = (text: string): TaskRange[] => (text === '' ? [] : text.split(',').map(decodeRun));

function decodeRun(text: string): TaskRange {
  const separator = text.indexOf('-');
  if (separator < 0) return { first: Number(text), last: Number(text) };
  return { first: Number(text.slice(0, separator)), last: Number(text.slice(separator + 1)) };
}

function taskCountOf(ranges: readonly TaskRange[]): number {
  let count = 0;
  for (const { first, last } of ranges) count += last - first + 1;
  return count;
}

/** Escapes every separator of the page syntax in a name. */
const escapeName = (name: string): string =>
  encodeURIComponent(name).replace(/[.!'()*~]/g, (c) => `%${c.charCodeAt(0).toString(16).toUpperCase()}`);

function unescapeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch (error) {
    throw new MalformedRecordError(
      'page',
      `cannot unescape the name "${text.slice(0, MAX_SHOWN_CHARACTERS)}"`,
      { cause: error },
    );
  }
}

/** The zone names of a page; names that are not among the cluster's zones are appended. */
class ZoneTable {
  readonly names: string[];

  constructor(zones: readonly string[]) {
    this.names = [...zones];
  }

  indexOf(name: string): number {
    const index = this.names.indexOf(name);
    return index >= 0 ? index : this.names.push(name) - 1;
  }
}

/**
 * Caches encoded rows by record and by the cluster's zones, so that only what changed since the last write is encoded
 * again.
 */
const encodedRows = new WeakMap<ChunkRecord, Map<string, string>>();

/** Encodes a page of chunk records; `zones` are the cluster's zones, in the order of the settings. */
export function encodePage(entries: readonly PageEntry[], zones: readonly string[]): string {
  const zoneTable = new ZoneTable(zones);
  const zonesKey = zones.join();
  const rows = entries.map((entry) => {
    const cachedRows = encodedRows.get(entry.record) ?? new Map<string, string>();
    encodedRows.set(entry.record, cachedRows);
    const cached = cachedRows.get(zonesKey);
    if (cached !== undefined) return cached;
    const row = encodeRow(entry, zoneTable);
    // If a zone was appended, for this row or for an earlier one, the row depends on the other rows of the page.
    if (zoneTable.names.length === zones.length) cachedRows.set(zonesKey, row);
    return row;
  });
  return [zoneTable.names.map(escapeName).join(','), ...rows].join('|');
}

function encodeRow({ jobId, chunkIndex, record }: PageEntry, zones: ZoneTable): string {
  const { highestAttempt, completedTasks, assignments } = record;
  const runs = encodeRuns(completedTasks);
  const assigned = assignments.map((assignment) => encodeAssignment(assignment, zones)).join(',');
  return `${jobId}/${chunkIndex} a${highestAttempt} c${taskCountOf(completedTasks)},${assignments.length} ${runs} ${assigned}`;
}

const encodeAssignment = (assignment: AssignmentRecord, zones: ZoneTable): string =>
  `${assignment.taskIndex}.${assignment.attempt}.${escapeName(assignment.machineName)}.${assignment.agentEpoch}.${zones.indexOf(assignment.zone)}`;

/** The end of a row without assignments: the separator that precedes them. */
const NO_ASSIGNMENTS_END = ' ';

/** Captures job id, chunk, highest attempt, completed runs and assignments. */
const ROW = /^([^/ ]+)\/(\d+) a(\d+) c\d+,\d+ ([\d,-]*) (.*)$/;

/** Entries of a page that are decoded already, by the position of their rows. */
export type DecodedRows = ReadonlyMap<number, PageEntry>;

const NO_DECODED_ROWS: DecodedRows = new Map();

/** Decodes a page of chunk records; throws {@link MalformedRecordError} if it is malformed. */
export const decodePage = (value: unknown): PageEntry[] => decodeOtherRows(value, NO_DECODED_ROWS);

/**
 * Returns all entries of a page and decodes those that are not decoded yet; throws {@link MalformedRecordError} if the
 * page is malformed.
 */
export function decodeOtherRows(value: unknown, decodedRows: DecodedRows): PageEntry[] {
  const { zones, rows } = splitPage(value);
  return rows.map((row, position) => decodedRows.get(position) ?? decodeRow(row, zones));
}

/** Decodes only the rows with assignments; throws {@link MalformedRecordError} if one of them is malformed. */
export function decodeAssignedRows(value: unknown): DecodedRows {
  const { zones, rows } = splitPage(value);
  const decoded = new Map<number, PageEntry>();
  for (const [position, row] of rows.entries())
    if (!row.endsWith(NO_ASSIGNMENTS_END)) decoded.set(position, decodeRow(row, zones));
  return decoded.size === 0 ? NO_DECODED_ROWS : decoded;
}

interface PageRows {
  readonly zones: readonly string[];
  readonly rows: readonly string[];
}

function splitPage(value: unknown): PageRows {
  if (typeof value !== 'string') throw new MalformedRecordError('page', 'not a text');
  const [zoneSection = '', ...rows] = value.split('|');
  return { zones: zoneSection === '' ? [] : zoneSection.split(',').map(unescapeName), rows };
}

function decodeRow(row: string, zones: readonly string[]): PageEntry {
  const match = ROW.exec(row);
  if (match === null)
    throw new MalformedRecordError('page', `cannot parse the row "${row.slice(0, MAX_SHOWN_CHARACTERS)}"`);
  const [, jobId = '', chunk, attempt, runs = '', assigned = ''] = match;
  return {
    jobId,
    chunkIndex: Number(chunk),
    record: {
      highestAttempt: Number(attempt),
      completedTasks: decodeRuns(runs),
      assignments: assigned === '' ? [] : assigned.split(',').map((text) => decodeAssignment(text, zones)),
    },
  };
}

function decodeAssignment(text: string, zones: readonly string[]): AssignmentRecord {
  const [task, attempt, machine, agentEpoch, zone] = text.split('.');
  return {
    taskIndex: Number(task),
    attempt: Number(attempt),
    machineName: unescapeName(machine ?? ''),
    agentEpoch: Number(agentEpoch),
    zone: zones[Number(zone)] ?? '',
  };
}

/** Numbers of completed and assigned tasks of a job that one chunk records. */
export interface ChunkTaskCount {
  readonly jobId: string;
  readonly completed: number;
  readonly assigned: number;
}

/** Captures job id and task counts from the start of a row. */
const ROW_HEAD = /^([^/ ]+)\/\d+ a\d+ c(\d+),(\d+) /;
/** Longer than the start of any row, because a job id has at most 22 characters. */
const MAX_ROW_HEAD_LENGTH = 79;

/** Returns the task counts of a page's chunks without decoding the page; none if the value is not a page. */
export function taskCountsIn(value: unknown): ChunkTaskCount[] {
  if (typeof value !== 'string') return [];
  const counts: ChunkTaskCount[] = [];
  for (let separator = value.indexOf('|'); separator >= 0; separator = value.indexOf('|', separator + 1)) {
    const match = ROW_HEAD.exec(value.slice(separator + 1, separator + 1 + MAX_ROW_HEAD_LENGTH));
    if (match === null) continue;
    counts.push({ jobId: match[1] ?? '', completed: Number(match[2]), assigned: Number(match[3]) });
  }
  return counts;
}
