/**
 * @file The settings file (JSON) that the platform provides: its schema, its validation, and its conversion to the
 * terms of the core. A file must be accepted only if the controller can run with it.
 */
import * as z from 'zod';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import { seconds } from '../../core/model/time.js';
import { MIN_VALUE_BYTES } from '../../core/records/page-size.js';
import { maxAssignments } from './leader-memory.js';
import { MIN_MEMORY_MB } from '../runtime/memory-monitor.js';
import { MIN_SOCKETS } from './connection-limits.js';
import { SettingsError } from './settings-error.js';
import { readSettingsFile } from './settings-file.js';

const BYTES_PER_KB = 1024;

const nonNegative = z.number().nonnegative();
const address = z.string().regex(/^[^\s:]+:[0-9]{1,5}$/, 'must be HOST:PORT');

/** Makes a value optional; an invalid value is treated as absent. */
const absentIfInvalid = <T extends z.ZodType>(schema: T) => schema.optional().catch(undefined);

/** The announced future limits of the state store. Invalid ones are ignored. */
const announcedLimits = absentIfInvalid(
  z.object({
    write_rps: absentIfInvalid(z.number().positive()),
    value_kb: absentIfInvalid(z.number().positive()),
    txn_ops: absentIfInvalid(z.number().int().positive()),
  }),
);

const platformSchema = z.object({
  label: z.string().min(1),
  area: z.string(),
  api_addr: address,
  internal_addr: address,
  known: z.array(z.object({ label: z.string().min(1), area: z.string(), endpoint: address })),
  external: z.object({ cloud: address, state: address }),
  facts: z.object({
    zones: z.array(z.string()),
    teams: z.array(
      z.object({
        name: z.string().min(1),
        cpus: nonNegative,
        cpus_max: nonNegative,
        gpus: nonNegative,
        gpus_max: nonNegative,
      }),
    ),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: nonNegative.optional(),
          share: z.number().optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: z.number().positive(),
      lease_s: z.number().positive(),
      gang_wait_s: nonNegative,
      gang_peer_s: nonNegative,
      cancel_s: z.number().positive(),
    }),
    state: z.object({
      rps: z.number().positive(),
      write_rps: z.number().positive(),
      value_kb: z.number().positive(),
      txn_ops: z.number().int().positive(),
      next: announcedLimits,
    }),
    cloud: z.object({ rps: z.number().positive(), list_lag_s: nonNegative }),
    limits: z
      .object({
        core_share: z.number().positive(),
        memory_mb: z.number().min(MIN_MEMORY_MB, `at least ${MIN_MEMORY_MB} is needed`),
        max_sockets: z.number().min(MIN_SOCKETS, `at least ${MIN_SOCKETS} are needed`),
      })
      .optional(),
    skew_ms: nonNegative.default(0),
  }),
});

/** The platform's settings after validation. */
export type PlatformSettings = z.infer<typeof platformSchema>;

/** Reads and validates the platform's settings file. Throws a SettingsError if it is invalid or cannot be read. */
export function readPlatformSettings(path: string): PlatformSettings {
  const result = platformSchema.safeParse(parseJson(readSettingsFile(path, `settings ${path}`), path));
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new SettingsError(
      `settings ${path}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`,
      { cause: result.error },
    );
  }
  checkValueLimit(path, result.data);
  return result.data;
}

function parseJson(text: string, path: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new SettingsError(
      `settings ${path} are not JSON: ${error instanceof Error ? error.message : String(error)}`,
      { cause: error },
    );
  }
}

/**
 * Returns the smaller of the current and the announced limit on a value, in bytes, because what is written must fit
 * both.
 */
const maxValueBytes = ({ facts: { state } }: PlatformSettings): number =>
  Math.floor(Math.min(state.value_kb, state.next?.value_kb ?? Infinity) * BYTES_PER_KB);

function checkValueLimit(path: string, platform: PlatformSettings): void {
  if (maxValueBytes(platform) < MIN_VALUE_BYTES)
    throw new SettingsError(
      `settings ${path}: facts.state: values must hold ${MIN_VALUE_BYTES} bytes, now and by \`next\``,
    );
}

/** Converts the platform's settings to the configuration of the core. */
export function clusterConfigFrom(platform: PlatformSettings): ClusterConfig {
  const { zones, teams, objectives, workers, state, cloud } = platform.facts;
  return {
    zones,
    teams: teams.map((team) => ({
      name: team.name,
      fairShareCpus: team.cpus,
      fairShareGpus: team.gpus,
      cpuQuota: team.cpus_max,
      gpuQuota: team.gpus_max,
    })),
    objectives: objectives.map((objective) => ({
      kind: objective.kind,
      class: objective.class ?? '',
      threshold: objective.within_s === undefined ? null : seconds(objective.within_s),
      share: objective.share ?? 1,
    })),
    heartbeatInterval: seconds(workers.report_s),
    workerLease: seconds(workers.lease_s),
    gangStartTimeout: seconds(workers.gang_wait_s),
    gangPeerTimeout: seconds(workers.gang_peer_s),
    cancellationDeadline: seconds(workers.cancel_s),
    maxTransactionOperations: Math.min(state.txn_ops, state.next?.txn_ops ?? Infinity),
    maxValueBytes: maxValueBytes(platform),
    maxAssignments: maxAssignments(platform.facts.limits?.memory_mb ?? null),
    inventoryLag: seconds(cloud.list_lag_s),
  };
}
