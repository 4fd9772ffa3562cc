/**
 * @file The record codec of the version in production: copies of the formats that the version named as `production` in
 * `deploy/service.toml` writes to the state store and accepts from it. They must not change while that version may run
 * beside newer ones, because tests let each version read the other's records. That version does not support dependencies,
 * and drops fields that it does not define.
 */
import * as z from 'zod';
import type { JobRecord } from '../../src/core/model/job.js';
import type { PageEntry } from '../../src/core/model/records.js';
import { seconds, toSeconds } from '../../src/core/model/time.js';
import type { RecordCodec } from './simulated-fleet.js';

const jobRecordSchema = z.object({
  st: z.enum(['open', 'cancelled', 'done']),
  at: z.string(),
  s: z.object({
    id: z.string(),
    class: z.string(),
    team: z.string(),
    kind: z.enum(['array', 'gang', 'service']),
    priority: z.enum(['low', 'normal', 'high', 'production']),
    tasks: z.number(),
    cpus: z.number(),
    gpus: z.number(),
    memory: z.number(),
    types: z.array(z.string()).nullable(),
    zone: z.string().nullable(),
    oneZone: z.boolean(),
    spread: z.boolean(),
    spot: z.boolean(),
    image: z.string(),
    imageGb: z.number(),
    estimate: z.number(),
    checkpoint: z.number(),
    save: z.number(),
    due: z.number().nullable(),
  }),
});

const ROW_PATTERN = /^([^/ ]+)\/(\d+) a(\d+) c(\d+),(\d+) ([\d,-]*) (.*)$/;

function writeJob(record: JobRecord): unknown {
  const { spec } = record;
  return {
    st: record.status,
    at: record.submittedAt.toISOString(),
    s: {
      id: spec.id,
      class: spec.class,
      team: spec.team,
      kind: spec.kind,
      priority: spec.priority,
      tasks: spec.taskCount,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memory: spec.memory,
      types: spec.machineTypes,
      zone: spec.zone,
      oneZone: spec.singleZone,
      spread: spec.spreadAcrossZones,
      spot: spec.allowSpot,
      image: spec.image,
      imageGb: spec.imageGb,
      estimate: toSeconds(spec.estimatedDuration),
      checkpoint: toSeconds(spec.checkpointInterval),
      save: toSeconds(spec.checkpointDuration),
      due: spec.deadline === null ? null : toSeconds(spec.deadline),
    },
  };
}

function readJob(value: unknown): JobRecord {
  const storedRecord = jobRecordSchema.parse(value);
  const { s: stored } = storedRecord;
  const spec = {
    id: stored.id,
    class: stored.class,
    team: stored.team,
    kind: stored.kind,
    priority: stored.priority,
    taskCount: stored.tasks,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memory: stored.memory,
    machineTypes: stored.types,
    zone: stored.zone,
    singleZone: stored.oneZone,
    spreadAcrossZones: stored.spread,
    allowSpot: stored.spot,
    image: stored.image,
    imageGb: stored.imageGb,
    estimatedDuration: seconds(stored.estimate),
    checkpointInterval: seconds(stored.checkpoint),
    checkpointDuration: seconds(stored.save),
    deadline: stored.due === null ? null : seconds(stored.due),
    dependencies: [],
  };
  return { spec, submittedAt: new Date(storedRecord.at), status: storedRecord.st };
}

const escaped = (s: string): string =>
  encodeURIComponent(s).replace(/[.!'()*~]/g, (c) => `%${c.charCodeAt(0).toString(16).toUpperCase()}`);

function writePage(entries: readonly PageEntry[], zones: readonly string[]): string {
  const zoneNames = [...zones];
  const zoneOf = (name: string): number => {
    const zoneIndex = zoneNames.indexOf(name);
    return zoneIndex >= 0 ? zoneIndex : zoneNames.push(name) - 1;
  };
  const rows = entries.map(({ jobId: job, chunkIndex: index, record }) => {
    const completedText = record.completedTasks
      .map(({ first, last }) => (first === last ? String(first) : `${first}-${last}`))
      .join(',');
    const completedCount = record.completedTasks.reduce((sum, { first, last }) => sum + last - first + 1, 0);
    const assignmentText = record.assignments
      .map(
        (assignment) =>
          `${assignment.taskIndex}.${assignment.attempt}.${escaped(assignment.machineName)}.${assignment.agentEpoch}.${zoneOf(assignment.zone)}`,
      )
      .join(',');
    return `${job}/${index} a${record.highestAttempt} c${completedCount},${record.assignments.length} ${completedText} ${assignmentText}`;
  });
  return [zoneNames.map(escaped).join(','), ...rows].join('|');
}

function readPage(value: unknown): PageEntry[] {
  if (typeof value !== 'string') throw new Error('a page is not text');
  const [zoneList = '', ...rows] = value.split('|');
  const zones = zoneList === '' ? [] : zoneList.split(',').map(decodeURIComponent);
  return rows.map((row) => {
    const match = ROW_PATTERN.exec(row);
    if (match === null) throw new Error(`a page has an entry that cannot be read: ${row.slice(0, 40)}`);
    const completedTasks = (match[6] === '' ? [] : (match[6] ?? '').split(',')).map((range) => {
      const [first = 0, last = first] = range.split('-').map(Number);
      return { first, last };
    });
    const assignments = (match[7] === '' ? [] : (match[7] ?? '').split(',')).map((assignmentText) => {
      const [task, attempt, machine, agentEpoch, zone] = assignmentText.split('.');
      return {
        taskIndex: Number(task),
        attempt: Number(attempt),
        machineName: decodeURIComponent(machine ?? ''),
        agentEpoch: Number(agentEpoch),
        zone: zones[Number(zone)] ?? '',
      };
    });
    return {
      jobId: match[1] ?? '',
      chunkIndex: Number(match[2]),
      record: { highestAttempt: Number(match[3]), completedTasks, assignments },
    };
  });
}

/** The codec for the records of the version in production. */
export const PRODUCTION_CODEC: RecordCodec = { writeJob, readJob, writePage, readPage };
