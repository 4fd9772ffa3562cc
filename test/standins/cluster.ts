/** @file A cloud with workers on loopback, and the settings and jobs of tests with whole controllers. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import pino from 'pino';
import type { Subscription } from 'rxjs';
import { DEFAULT_SETTINGS } from '../../src/edge/config/operator-settings.js';
import type { Features } from '../../src/edge/config/features.js';
import { startService } from '../../src/edge/service.js';
import type { PlatformSettings } from '../../src/edge/config/platform-settings.js';
import { call, listen } from './http.js';
import { WorkerStandIn, type TaskHistory } from './worker.js';

/** What the tests of a whole service on loopback share: settings, a cloud, two workers, jobs. */

let lastPort = 8000;
/**
 * An address for a controller that starts later, which nobody else can have by then. A port that was free when asked
 * for may be the source port of somebody's connection a moment later, and a test then failed with "address already in
 * use": each test process has a loopback address of its own, made of its id, and counts ports below those that the
 * kernel gives out.
 */
export function reserveAddress(): string {
  const id = process.pid;
  lastPort += 1;
  return `127.${1 + ((id >> 16) & 0x7f)}.${(id >> 8) & 0xff}.${id & 0xff}:${lastPort}`;
}

const MACHINE_TYPES = {
  builds: [
    {
      label: 'big',
      vcpus: 8,
      gpus: 2,
      memGb: 64,
      localGb: 100,
      fetchGbPerS: 1,
      rate: 10,
      spotPrice: 4,
      bootS: 30,
      halls: ['east', 'west'],
    },
  ],
};

export function platformSettings(
  label: string,
  api: string,
  cloud: string,
  stateStore: { readonly address: string },
  workers: Partial<PlatformSettings['facts']['workers']> = {},
): PlatformSettings {
  return {
    label,
    area: 'east',
    api_addr: api,
    internal_addr: '127.0.0.1:1',
    known: [],
    external: { cloud, state: stateStore.address },
    facts: {
      zones: ['east', 'west'],
      teams: [
        { name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 4 },
        { name: 'blue', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      ],
      objectives: [],
      workers: { report_s: 0.2, lease_s: 5, gang_wait_s: 10, gang_peer_s: 2, cancel_s: 20, ...workers },
      state: { rps: 400, write_rps: 200, value_kb: 4, txn_ops: 4 },
      cloud: { rps: 20, list_lag_s: 1 },
      skew_ms: 5,
    },
  };
}

export const jobBody = (id: string, over: Record<string, unknown> = {}): Record<string, unknown> => ({
  ref: id,
  docket: 'work',
  desk: 'red',
  shape: 'batch',
  precedence: 'normal',
  tickets: 1,
  vcpus: 1,
  gpus: 1,
  memGb: 4,
  bundle: 'img',
  pullGb: 1,
  oneZone: false,
  spread: false,
  loaners: false,
  expectedS: 1,
  snapshotEveryS: 0,
  snapshotS: 0,
  ...over,
});

const POLL_INTERVAL_MS = 50;

/** Polls until `look` finds a value; fails after `limitMs`. */
export async function waitFor<T>(what: string, look: () => Promise<T | null>, limitMs = 8000): Promise<T> {
  const deadline = process.hrtime.bigint() + BigInt(limitMs) * 1_000_000n;
  for (;;) {
    const found = await look();
    if (found !== null) return found;
    if (process.hrtime.bigint() > deadline) throw new Error(`not in time: ${what}`);
    await delay(POLL_INTERVAL_MS);
  }
}

/** Polls until the condition holds; fails after `limitMs`. */
export const waitUntil = (
  what: string,
  condition: () => boolean | Promise<boolean>,
  limitMs?: number,
): Promise<true> => waitFor(what, async () => ((await condition()) ? true : null), limitMs);

export interface LoopbackCluster {
  readonly cloudAddress: string;
  readonly workers: WorkerStandIn[];
  /** Every rental and return that came, for sending copies of it later. */
  readonly scaleRequests: { readonly path: string; readonly body: Record<string, unknown> }[];
  /** Rentals that were carried out, by name. */
  readonly scaleOuts: ReadonlyMap<string, readonly string[]>;
  /** What becomes of a rental: carried out without an answer, or only after a while. */
  scaleOutFault: 'lost' | 'late' | null;
  /** Carries a rental or return out, as the cloud does; a repeated rental rents nothing. */
  applyScaleRequest(path: string, body: Record<string, unknown>): Promise<{ status: number; body: unknown }>;
  stop(): void;
}

/** A cloud with two machines and, on demand, `spare` more; their workers report to the given controllers. */
export async function startCluster(
  controllers: readonly string[],
  watch: TaskHistory,
  runMs: (ticket: string) => number | null,
  spare = 0,
): Promise<LoopbackCluster> {
  const workers: WorkerStandIn[] = [];
  const hired = new Map<string, string[]>();
  const add = async (zone: string): Promise<string> => {
    made += 1;
    const worker = new WorkerStandIn(`n-00000${made - 1}`, zone, controllers, watch, runMs);
    await worker.start();
    workers.push(worker);
    return worker.name;
  };
  let made = 0;
  const calls: LoopbackCluster['scaleRequests'] = [];
  const carryOut: LoopbackCluster['applyScaleRequest'] = async (path, body) => {
    if (path === '/machines/return') {
      for (const name of body['rigs'] as string[]) {
        const at = workers.findIndex((worker) => worker.name === name);
        if (at >= 0) workers.splice(at, 1)[0]?.stop();
      }
      return { status: 200, body: {} };
    }
    const known = hired.get(body['hire'] as string);
    if (known !== undefined) return { status: 200, body: { rigs: known } };
    const names: string[] = [];
    while (names.length < (body['number'] as number) && made < 2 + spare)
      names.push(await add(body['hall'] as string));
    if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
    hired.set(body['hire'] as string, names);
    return { status: 200, body: { rigs: names } };
  };
  const cloud = await listen(async (m, url, sent) => {
    if (url.pathname === '/flavors') return { status: 200, body: MACHINE_TYPES };
    if (url.pathname === '/machines' && url.searchParams.has('page'))
      return {
        status: 200,
        body: {
          rigs: workers.map((worker) => ({
            ref: worker.name,
            endpoint: worker.address,
            build: 'big',
            hall: worker.zone,
            loaners: false,
            standing: 'running',
            ageS: 10,
          })),
          hasNext: false,
        },
      };
    if (m !== 'POST') return { status: 400, body: {} };
    const body = sent as Record<string, unknown>;
    calls.push({ path: url.pathname, body });
    if (url.pathname !== '/machines' || site.scaleOutFault === null) return carryOut(url.pathname, body);
    if (site.scaleOutFault === 'lost') await carryOut(url.pathname, body);
    else setTimeout(() => void carryOut(url.pathname, body), 600).unref();
    return { status: 504, body: {} };
  });
  for (const zone of ['east', 'west']) await add(zone);
  const site: LoopbackCluster = {
    cloudAddress: cloud.address,
    workers,
    scaleRequests: calls,
    scaleOuts: hired,
    scaleOutFault: null,
    applyScaleRequest: carryOut,
    stop: () => {
      for (const worker of workers) worker.stop();
      cloud.close();
    },
  };
  return site;
}

const silent = pino({ level: 'silent' });

export const startController = (p: PlatformSettings, features: Features = new Set()): Subscription =>
  startService(p, DEFAULT_SETTINGS, features, silent, (why) => assert.fail(why));

export const waitUntilHealthy = (api: string): Promise<true> =>
  waitUntil('healthy', async () => (await call(api, 'GET', '/healthz').catch(() => null))?.status === 200);
