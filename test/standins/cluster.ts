import assert from 'node:assert/strict';
import pino from 'pino';
import type { Subscription } from 'rxjs';
import { DEFAULT_SETTINGS } from '../../src/edge/config/operator-settings.js';
import type { Features } from '../../src/edge/config/features.js';
import { startService } from '../../src/edge/service.js';
import type { PlatformSettings } from '../../src/edge/config/platform-settings.js';
import { call, listen } from './http.js';
import { WorkerStandIn, type Watch } from './worker.js';

/** What the tests of a whole service on loopback share: settings, a cloud, two workers, jobs. */

let ports = 8000;
/**
 * An address for a controller that starts later, which nobody else can have by then. A port that was free when asked
 * for may be the source port of somebody's connection a moment later, and a test then failed with "address already in
 * use": each test process has a loopback address of its own, made of its id, and counts ports below those that the
 * kernel gives out.
 */
export function ownAddress(): string {
  const id = process.pid;
  ports += 1;
  return `127.${1 + ((id >> 16) & 0x7f)}.${(id >> 8) & 0xff}.${id & 0xff}:${ports}`;
}

const TYPES = {
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

export function platform(
  label: string,
  api: string,
  cloud: string,
  state: { addr: string },
  workers: Partial<PlatformSettings['facts']['workers']> = {},
): PlatformSettings {
  return {
    label,
    area: 'east',
    api_addr: api,
    internal_addr: '127.0.0.1:1',
    known: [],
    external: { cloud, state: state.addr },
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

export const job = (id: string, over: Record<string, unknown> = {}): Record<string, unknown> => ({
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

export async function until<T>(what: string, look: () => Promise<T | null>, limitMs = 8000): Promise<T> {
  const end = process.hrtime.bigint() + BigInt(limitMs) * 1_000_000n;
  for (;;) {
    const v = await look();
    if (v !== null) return v;
    if (process.hrtime.bigint() > end) throw new Error(`not in time: ${what}`);
    await new Promise((r) => setTimeout(r, 50));
  }
}

export interface Site {
  readonly cloud: string;
  readonly workers: WorkerStandIn[];
  /** Every rental and return that came, for sending copies of it later. */
  readonly calls: { readonly path: string; readonly body: Record<string, unknown> }[];
  /** Rentals that were carried out, by name. */
  readonly hired: ReadonlyMap<string, readonly string[]>;
  /** What becomes of a rental: carried out without an answer, or only after a while. */
  fate: 'lost' | 'late' | null;
  /** Carries a rental or return out, as the cloud does; a repeated rental rents nothing. */
  carryOut(path: string, body: Record<string, unknown>): Promise<{ status: number; body: unknown }>;
  stop(): void;
}

/** A cloud with two machines and, on demand, `spare` more; their workers report to the given controllers. */
export async function makeSite(
  controllers: readonly string[],
  watch: Watch,
  runMs: (ticket: string) => number | null,
  spare = 0,
): Promise<Site> {
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
  const calls: Site['calls'] = [];
  const carryOut: Site['carryOut'] = async (path, body) => {
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
    if (url.pathname === '/flavors') return { status: 200, body: TYPES };
    if (url.pathname === '/machines' && url.searchParams.has('page'))
      return {
        status: 200,
        body: {
          rigs: workers.map((worker) => ({
            ref: worker.name,
            endpoint: worker.addr,
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
    if (url.pathname !== '/machines' || site.fate === null) return carryOut(url.pathname, body);
    if (site.fate === 'lost') await carryOut(url.pathname, body);
    else setTimeout(() => void carryOut(url.pathname, body), 600).unref();
    return { status: 504, body: {} };
  });
  for (const zone of ['east', 'west']) await add(zone);
  const site: Site = {
    cloud: cloud.addr,
    workers,
    calls,
    hired,
    fate: null,
    carryOut,
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

export const untilHealthy = (api: string): Promise<true> =>
  until('healthy', async () =>
    (await call(api, 'GET', '/healthz').catch(() => null))?.status === 200 ? true : null,
  );
