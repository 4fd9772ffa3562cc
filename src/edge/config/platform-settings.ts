import { readFileSync } from 'node:fs';
import * as z from 'zod';
import type { ClusterConfig } from '../../core/model/cluster-config.js';
import { seconds } from '../../core/model/time.js';
import { MIN_VALUE_BYTES } from '../../core/records/page-size.js';
import { MIN_MEMORY_MB } from '../runtime/memory-monitor.js';
import { MIN_SOCKETS } from './connection-limits.js';

/** A mistake in what we were started with: told in one line, exit code 2. */
export class SettingsError extends Error {}

const amount = z.number().nonnegative();
const address = z.string().regex(/^[^\s:]+:[0-9]{1,5}$/, 'must be HOST:PORT');

const perhaps = <T extends z.ZodType>(type: T) => type.optional().catch(undefined);

/** The limits that the state service will have from some moment on. What cannot be read of them is passed over. */
const nextLimits = perhaps(
  z.object({
    write_rps: perhaps(z.number().positive()),
    value_kb: perhaps(z.number().positive()),
    txn_ops: perhaps(z.number().int().positive()),
  }),
);

const platform = z.object({
  label: z.string().min(1),
  area: z.string(),
  api_addr: address,
  internal_addr: address,
  known: z.array(z.object({ label: z.string().min(1), area: z.string(), endpoint: address })),
  external: z.object({ cloud: address, state: address }),
  facts: z.object({
    zones: z.array(z.string()),
    teams: z.array(
      z.object({ name: z.string().min(1), cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount }),
    ),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: amount.optional(),
          share: z.number().optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: z.number().positive(),
      lease_s: z.number().positive(),
      gang_wait_s: amount,
      gang_peer_s: amount,
      cancel_s: z.number().positive(),
    }),
    state: z.object({
      rps: z.number().positive(),
      write_rps: z.number().positive(),
      value_kb: z.number().positive(),
      txn_ops: z.number().int().positive(),
      next: nextLimits,
    }),
    cloud: z.object({ rps: z.number().positive(), list_lag_s: amount }),
    limits: z
      .object({
        core_share: z.number().positive(),
        memory_mb: z.number().min(MIN_MEMORY_MB, `at least ${MIN_MEMORY_MB} is needed`),
        max_sockets: z.number().min(MIN_SOCKETS, `at least ${MIN_SOCKETS} are needed`),
      })
      .optional(),
    skew_ms: amount.default(0),
  }),
});

/** The settings file of the platform, checked. */
export type PlatformSettings = z.infer<typeof platform>;

/** Reads and checks the settings file of the platform. */
export function readPlatformSettings(path: string): PlatformSettings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(
      `cannot read settings ${path}: ${(e as NodeJS.ErrnoException).code ?? String(e)}`,
    );
  }
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (e) {
    throw new SettingsError(`settings ${path} are not JSON: ${e instanceof Error ? e.message : String(e)}`);
  }
  const r = platform.safeParse(json);
  if (!r.success) {
    const first = r.error.issues[0];
    throw new SettingsError(
      `settings ${path}: ${first?.path.join('.') ?? ''}: ${first?.message ?? 'invalid'}`,
    );
  }
  checkValueLimit(path, r.data);
  return r.data;
}

/** The smaller of the limits of a value, now and later: what is written must fit both. */
const valueBytesOf = ({ facts: { state } }: PlatformSettings): number =>
  Math.floor(Math.min(state.value_kb, state.next?.value_kb ?? Infinity) * 1024);

function checkValueLimit(path: string, p: PlatformSettings): void {
  if (valueBytesOf(p) < MIN_VALUE_BYTES)
    throw new SettingsError(
      `settings ${path}: facts.state: values must hold ${MIN_VALUE_BYTES} bytes, now and by \`next\``,
    );
}

/** The platform's settings as the core uses them. */
export function clusterConfigFrom(p: PlatformSettings): ClusterConfig {
  const f = p.facts;
  return {
    zones: f.zones,
    teams: f.teams.map((t) => ({
      name: t.name,
      fairShareCpus: t.cpus,
      fairShareGpus: t.gpus,
      cpuQuota: t.cpus_max,
      gpuQuota: t.gpus_max,
    })),
    objectives: f.objectives.map((o) => ({
      kind: o.kind,
      class: o.class ?? '',
      threshold: o.within_s === undefined ? null : seconds(o.within_s),
      share: o.share ?? 1,
    })),
    heartbeatInterval: seconds(f.workers.report_s),
    workerLease: seconds(f.workers.lease_s),
    gangStartTimeout: seconds(f.workers.gang_wait_s),
    gangPeerTimeout: seconds(f.workers.gang_peer_s),
    cancellationDeadline: seconds(f.workers.cancel_s),
    maxTransactionOperations: Math.min(f.state.txn_ops, f.state.next?.txn_ops ?? Infinity),
    maxValueBytes: valueBytesOf(p),
    inventoryLag: seconds(f.cloud.list_lag_s),
  };
}
