/** @file A cloud with workers on loopback, and settings and job bodies for tests that run whole controllers. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import pino from 'pino';
import type { Subscription } from 'rxjs';
import { DEFAULT_SETTINGS } from '../../src/edge/config/operator-settings.js';
import type { Features } from '../../src/edge/config/features.js';
import { startService } from '../../src/edge/service.js';
import type { PlatformSettings } from '../../src/edge/config/platform-settings.js';
import { call, listen, type Reply } from './http.js';
import { WorkerStandIn, type TaskHistory } from './worker.js';

let lastPort = 8000;
/**
 * Returns an address that is still free when a controller starts on it later. A port that was free when requested may
 * become the source port of another connection a moment later; tests failed with "address already in use" because of
 * that. Therefore each test process has its own loopback address, derived from its process id, and counts up through
 * ports below those that the kernel assigns.
 */
export function reserveAddress(): string {
  const processId = process.pid;
  lastPort += 1;
  return `127.${1 + ((processId >> 16) & 0x7f)}.${(processId >> 8) & 0xff}.${processId & 0xff}:${lastPort}`;
}

/** The one machine type of the stand-in cloud, with the field names of the protocol. */
export const MACHINE_TYPE_BODY = {
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

export const jobBody = (id: string, overrides: Record<string, unknown> = {}): Record<string, unknown> => ({
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
  ...overrides,
});

const POLL_INTERVAL_MS = 50;

/** Polls until `poll` returns a value other than null, and returns it; throws after `limitMs`. */
export async function waitFor<T>(
  description: string,
  poll: () => Promise<T | null>,
  limitMs = 8000,
): Promise<T> {
  const deadline = process.hrtime.bigint() + BigInt(limitMs) * 1_000_000n;
  for (;;) {
    const found = await poll();
    if (found !== null) return found;
    if (process.hrtime.bigint() > deadline) throw new Error(`not in time: ${description}`);
    await delay(POLL_INTERVAL_MS);
  }
}

/** Polls until the condition holds; throws after `limitMs`. */
export const waitUntil = (
  what: string,
  condition: () => boolean | Promise<boolean>,
  limitMs?: number,
): Promise<true> => waitFor(what, async () => ((await condition()) ? true : null), limitMs);

interface ScaleRequest {
  readonly path: string;
  readonly body: Record<string, unknown>;
}

/**
 * A fault of scale-out requests, which are answered with 504 in both cases. With `lost`, the request is executed at once;
 * with `late`, only after `LATE_SCALE_OUT_MS`.
 */
export type ScaleOutFault = 'lost' | 'late';

const LATE_SCALE_OUT_MS = 600;
const INITIAL_MACHINES = 2;

/** A cloud with two machines, and more on request, whose workers send heartbeats to the given controllers. */
export class LoopbackCluster {
  cloudAddress = '';
  readonly workers: WorkerStandIn[] = [];
  /** All received scale-out and scale-in requests, from which tests send duplicates later. */
  readonly scaleRequests: ScaleRequest[] = [];
  /** The machine names of each executed scale-out, by the name of the request. */
  readonly scaleOuts = new Map<string, readonly string[]>();
  scaleOutFault: ScaleOutFault | null = null;
  private machineCount = 0;
  private closeCloud: () => void = () => undefined;

  constructor(
    private readonly controllers: readonly string[],
    private readonly history: TaskHistory,
    private readonly taskDurationMs: (task: string) => number | null,
    /** How many machines the cloud can provide beyond the initial two. */
    private readonly spareMachines: number,
  ) {}

  async start(): Promise<void> {
    const cloud = await listen((method, url, body) => this.answer(method, url, body));
    this.cloudAddress = cloud.address;
    this.closeCloud = cloud.close;
    for (const zone of ['east', 'west']) await this.addWorker(zone);
  }

  stop(): void {
    for (const worker of this.workers) worker.stop();
    this.closeCloud();
  }

  /** Executes a scale-out or scale-in as the cloud does; a repeated scale-out adds no machines. */
  async applyScaleRequest(path: string, body: Record<string, unknown>): Promise<Reply> {
    if (path === '/machines/return') {
      for (const name of body['rigs'] as string[]) this.removeMachine(name);
      return { status: 200, body: {} };
    }
    const request = body['hire'] as string;
    const existingNames = this.scaleOuts.get(request);
    if (existingNames !== undefined) return { status: 200, body: { rigs: existingNames } };
    const names: string[] = [];
    const limit = INITIAL_MACHINES + this.spareMachines;
    while (names.length < (body['number'] as number) && this.machineCount < limit)
      names.push((await this.addWorker(body['hall'] as string)).name);
    if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
    this.scaleOuts.set(request, names);
    return { status: 200, body: { rigs: names } };
  }

  private async answer(method: string, { pathname, searchParams }: URL, sent: unknown): Promise<Reply> {
    if (pathname === '/flavors') return { status: 200, body: { builds: [MACHINE_TYPE_BODY] } };
    if (pathname === '/machines' && searchParams.has('page'))
      return { status: 200, body: { rigs: this.workers.map(inventoryEntry), hasNext: false } };
    if (method !== 'POST') return { status: 400, body: {} };
    const body = sent as Record<string, unknown>;
    this.scaleRequests.push({ path: pathname, body });
    if (pathname !== '/machines' || this.scaleOutFault === null)
      return this.applyScaleRequest(pathname, body);
    if (this.scaleOutFault === 'lost') await this.applyScaleRequest(pathname, body);
    else setTimeout(() => void this.applyScaleRequest(pathname, body), LATE_SCALE_OUT_MS).unref();
    return { status: 504, body: {} };
  }

  /** Adds a running machine with a worker. */
  async addWorker(zone: string): Promise<WorkerStandIn> {
    const name = `n-00000${this.machineCount}`;
    this.machineCount += 1;
    const worker = new WorkerStandIn(name, zone, this.controllers, this.history, this.taskDurationMs);
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  private removeMachine(name: string): void {
    const index = this.workers.findIndex((worker) => worker.name === name);
    if (index >= 0) this.workers.splice(index, 1)[0]?.stop();
  }
}

const inventoryEntry = (worker: WorkerStandIn): unknown => ({
  ref: worker.name,
  endpoint: worker.address,
  build: 'big',
  hall: worker.zone,
  loaners: false,
  standing: 'running',
  ageS: 10,
});

/** Starts a cluster that can provide `spareMachines` machines beyond the initial two. */
export async function startCluster(
  controllers: readonly string[],
  history: TaskHistory,
  taskDurationMs: (task: string) => number | null,
  spareMachines = 0,
): Promise<LoopbackCluster> {
  const cluster = new LoopbackCluster(controllers, history, taskDurationMs, spareMachines);
  await cluster.start();
  return cluster;
}

const silentLogger = pino({ level: 'silent' });

/** Starts a controller in this process; it stops when the subscription is unsubscribed. */
export const startController = (settings: PlatformSettings, features: Features = new Set()): Subscription =>
  startService(settings, DEFAULT_SETTINGS, features, silentLogger, (reason) => assert.fail(reason));

/** Waits until a controller's health check succeeds. */
export const waitUntilHealthy = (api: string): Promise<true> =>
  waitUntil(
    'the health check succeeds',
    async () => (await call(api, 'GET', '/healthz').catch(() => null))?.status === 200,
  );
