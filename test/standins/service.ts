/** @file A whole service on loopback: controllers, a state store, a cloud and workers. */
import type { Subscription } from 'rxjs';
import type { PlatformSettings } from '../../src/edge/config/platform-settings.js';
import {
  platformSettings,
  reserveAddress,
  startCluster,
  startController,
  waitUntilHealthy,
  type LoopbackCluster,
} from './cluster.js';
import { call } from './http.js';
import { StateStoreStandIn } from './state-store.js';
import { TaskHistory } from './worker.js';

/** A running service. Controllers are numbered from 0. */
export interface TestService {
  readonly stateStore: StateStoreStandIn;
  readonly history: TaskHistory;
  readonly cluster: LoopbackCluster;
  /** The controllers' addresses for users and workers. */
  readonly apis: readonly string[];
  /** Starts a controller, again if it was stopped. */
  start(n: number): void;
  stop(n: number): void;
}

/** What a service is started with. */
export interface TestServiceOptions {
  readonly controllers?: number;
  /** Returns how long a task runs in milliseconds, or null if it runs until it is stopped. */
  readonly taskDurationMs: (task: string) => number | null;
  readonly workers?: Partial<PlatformSettings['facts']['workers']>;
  /** Limits that the state store will have later, as the settings announce them. */
  readonly announcedLimits?: PlatformSettings['facts']['state']['next'];
  /** The memory limit of each controller in MB. */
  readonly memoryMb?: number;
  /** A state store that is started already and has records. */
  readonly stateStore?: StateStoreStandIn;
}

const MAX_SOCKETS = 600;

const cleanups: (() => void)[] = [];

/** Registers what `stopTestServices` is to stop besides the services. */
export const onStop = (cleanUp: () => void): void => void cleanups.push(cleanUp);

/** Stops all services of this process; to be passed to `after`. */
export function stopTestServices(): void {
  for (const cleanUp of cleanups) cleanUp();
}

/** Starts a state store with the usual limits. */
export async function startStateStore(valueBytes = 4096): Promise<StateStoreStandIn> {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes });
  await stateStore.start();
  return stateStore;
}

/** Starts a service, and waits until all its controllers are healthy. */
export async function startTestService(options: TestServiceOptions): Promise<TestService> {
  const { controllers = 1, taskDurationMs, workers = {}, announcedLimits, memoryMb } = options;
  const stateStore = options.stateStore ?? (await startStateStore());
  const history = new TaskHistory();
  const apis = Array.from({ length: controllers }, reserveAddress);
  const cluster = await startCluster(apis, history, taskDurationMs);
  if (workers.lease_s !== undefined)
    for (const worker of cluster.workers) worker.leaseMs = workers.lease_s * 1000;
  const subscriptions = new Map<number, Subscription>();
  const start = (n: number): void => {
    const settings = platformSettings(`c${n}`, apis[n] ?? '', cluster.cloudAddress, stateStore, workers);
    settings.facts.state.next = announcedLimits;
    if (memoryMb !== undefined)
      settings.facts.limits = { core_share: 1, memory_mb: memoryMb, max_sockets: MAX_SOCKETS };
    subscriptions.set(n, startController(settings));
  };
  onStop(() => {
    for (const subscription of subscriptions.values()) subscription.unsubscribe();
    cluster.stop();
    stateStore.stop();
  });
  for (let n = 0; n < controllers; n++) start(n);
  for (const api of apis) await waitUntilHealthy(api);
  return {
    ...{ stateStore, history, cluster, apis, start },
    stop: (n) => subscriptions.get(n)?.unsubscribe(),
  };
}

/** Returns a job's status as a controller answers it, or undefined if it does not. */
export const statusAt = async (api: string, id: string): Promise<unknown> =>
  (await call(api, 'GET', `/work/${id}`)).body['standing'];
