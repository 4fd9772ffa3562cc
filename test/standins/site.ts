import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import pino from 'pino';
import type { Subscription } from 'rxjs';
import { DEFAULTS } from '../../src/edge/knobs.js';
import { startService } from '../../src/edge/service.js';
import type { Platform } from '../../src/edge/settings.js';
import { call, listen } from './http.js';
import type { StateStandIn } from './state.js';
import { WorkerStandIn, type Watch } from './worker.js';

/** What the tests of a whole service on loopback share: settings, a cloud, two workers, jobs. */
export async function freePort(): Promise<number> {
  const s = createServer();
  await new Promise<void>((done) => s.listen(0, '127.0.0.1', done));
  const port = (s.address() as AddressInfo).port;
  await new Promise<void>((done) => s.close(() => done()));
  return port;
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

export function platform(label: string, api: string, cloud: string, state: StateStandIn): Platform {
  return {
    label,
    area: 'east',
    api_addr: api,
    internal_addr: '127.0.0.1:1',
    known: [],
    external: { cloud, state: state.addr },
    facts: {
      zones: ['east', 'west'],
      teams: [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 4 }],
      objectives: [],
      workers: { report_s: 0.2, lease_s: 5, gang_wait_s: 10, gang_peer_s: 2, cancel_s: 20 },
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
  stop(): void;
}

/** A cloud that has two machines and no more, and their workers, which report to the given controllers. */
export async function makeSite(
  controllers: readonly string[],
  watch: Watch,
  runMs: (ticket: string) => number | null,
): Promise<Site> {
  const workers: WorkerStandIn[] = [];
  const cloud = await listen((_m, url) => {
    if (url.pathname === '/flavors') return { status: 200, body: TYPES };
    if (url.pathname === '/machines' && url.searchParams.has('page'))
      return {
        status: 200,
        body: {
          rigs: workers.map((w) => ({
            ref: w.name,
            endpoint: w.addr,
            build: 'big',
            hall: w.zone,
            loaners: false,
            standing: 'running',
            ageS: 10,
          })),
          hasNext: false,
        },
      };
    if (url.pathname === '/machines/return') return { status: 200, body: {} };
    return { status: 503, body: { error: 'no capacity' } };
  });
  for (const [n, zone] of ['east', 'west'].entries()) {
    const w = new WorkerStandIn(`n-00000${n}`, zone, controllers, watch, runMs);
    await w.start();
    workers.push(w);
  }
  return {
    cloud: cloud.addr,
    workers,
    stop: () => {
      for (const w of workers) w.stop();
      cloud.close();
    },
  };
}

const silent = pino({ level: 'silent' });

export const startController = (p: Platform): Subscription =>
  startService(p, DEFAULTS, silent, (why) => assert.fail(why));

export const untilHealthy = (api: string): Promise<true> =>
  until('healthy', async () =>
    (await call(api, 'GET', '/healthz').catch(() => null))?.status === 200 ? true : null,
  );
