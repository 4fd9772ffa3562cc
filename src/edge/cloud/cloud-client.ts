/**
 * @file The client of the cloud's interface: machine types, instance inventory, scale out and scale in. It owns the
 * connections to the cloud and the request rate; it does not decide what to scale.
 */
import type { CloudInstance, MachineType } from '../../core/model/machine.js';
import type { ScaleOutRequest } from '../../core/model/scale-out.js';
import {
  CLOUD_PATHS,
  inventoryPath,
  parseInventory,
  parseMachineTypes,
  encodeScaleOut,
  encodeScaleIn,
  parseScaleOutResponse,
} from '../../wire/cloud-protocol.js';
import { RateLimiter } from '../runtime/rate-limiter.js';
import { sleep } from '../runtime/supervised-task.js';
import { HttpClient } from '../net/http-client.js';
import type { RequestOutcome } from '../net/http-connection.js';
import { jittered } from '../runtime/jitter.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';

const REQUEST_TIMEOUT_MS = 4000;
const MAX_CONNECTIONS = 4;
/** The share of the cloud's request limit that one controller uses. */
const RATE_SHARE = 0.7;
const INVENTORY_PAGE_SIZE = 500;
const MAX_ATTEMPTS = 4;
const FIRST_RETRY_DELAY_MS = 400;

/** The cloud's client. Keeps its requests below the cloud's limit and retries refused ones with increasing delays. */
export class CloudClient {
  private readonly client: HttpClient;
  private readonly rateLimiter: RateLimiter;

  constructor(
    address: string,
    requestsPerSecond: number,
    private readonly logger: Logger,
  ) {
    this.client = new HttpClient(address, MAX_CONNECTIONS);
    this.rateLimiter = new RateLimiter(requestsPerSecond * RATE_SHARE, Math.max(1, requestsPerSecond));
  }

  /** Returns the available machine types, or null if they could not be read. */
  async listMachineTypes(signal: AbortSignal): Promise<MachineType[] | null> {
    const response = await this.request('GET', CLOUD_PATHS.types, undefined, signal);
    if (response.kind !== 'response' || response.status !== 200) return null;
    const parsed = parseMachineTypes(response.body);
    return parsed.ok ? parsed.value : this.logMalformed(parsed.reason);
  }

  /** Returns the whole instance inventory, or null if any page of it could not be read. */
  async listInstances(signal: AbortSignal): Promise<CloudInstance[] | null> {
    const instances: CloudInstance[] = [];
    for (;;) {
      const after = instances[instances.length - 1]?.name ?? null;
      const response = await this.request(
        'GET',
        inventoryPath(after, INVENTORY_PAGE_SIZE),
        undefined,
        signal,
      );
      if (response.kind !== 'response' || response.status !== 200) return null;
      const parsed = parseInventory(response.body);
      if (!parsed.ok) return this.logMalformed(parsed.reason);
      instances.push(...parsed.value.machines);
      if (!parsed.value.hasMore) return instances;
    }
  }

  /**
   * Scales out under a request name that is never used again, which makes the request idempotent: it is retried until
   * its response is available, the attempts are used up or the signal is aborted. Returns the names of the new
   * machines, or null if the cloud refused the request or no response could be read.
   */
  async scaleOut(name: string, request: ScaleOutRequest, signal: AbortSignal): Promise<string[] | null> {
    const machines = await this.withRetries(signal, async () => {
      const body = encodeScaleOut(name, request);
      const response = await this.request('POST', CLOUD_PATHS.machines, body, signal);
      if (response.kind !== 'response') return undefined;
      if (response.status === 200) return this.parseMachineNames(response.body);
      if (response.status === 400 || response.status === 503) return null;
      return undefined;
    });
    return machines ?? null;
  }

  /**
   * Releases machines. Returns true once the cloud has confirmed it, or false if it did not. `mayRelease` is checked
   * before each attempt, because a new leader may have assigned tasks to these machines while this process was
   * paused.
   */
  async scaleIn(
    machineNames: readonly string[],
    mayRelease: () => boolean,
    signal: AbortSignal,
  ): Promise<boolean> {
    const released = await this.withRetries(signal, async () => {
      await this.waitForRateLimit(signal);
      if (!mayRelease()) return false;
      const body = encodeScaleIn(machineNames);
      const response = await this.client.request(
        'POST',
        CLOUD_PATHS.release,
        body,
        REQUEST_TIMEOUT_MS,
        signal,
      );
      return response.kind === 'response' && response.status === 200 ? true : undefined;
    });
    return released ?? false;
  }

  /**
   * Repeats an attempt while it returns undefined; returns undefined once the attempts are used up or the signal is
   * aborted.
   */
  private async withRetries<T>(
    signal: AbortSignal,
    attempt: () => Promise<T | undefined>,
  ): Promise<T | undefined> {
    for (let retries = 0; retries < MAX_ATTEMPTS && !signal.aborted; retries++) {
      const result = await attempt();
      if (result !== undefined) return result;
      await sleep(jittered(FIRST_RETRY_DELAY_MS * 2 ** retries), signal);
    }
    return undefined;
  }

  private parseMachineNames(body: unknown): string[] | null {
    const parsed = parseScaleOutResponse(body);
    return parsed.ok ? parsed.value : this.logMalformed(parsed.reason);
  }

  private logMalformed(reason: string): null {
    warnRateLimited(this.logger, { reason }, 'malformed cloud response');
    return null;
  }

  private async request(
    method: string,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<RequestOutcome> {
    await this.waitForRateLimit(signal);
    return this.client.request(method, path, body, REQUEST_TIMEOUT_MS, signal);
  }

  private async waitForRateLimit(signal: AbortSignal): Promise<void> {
    const waitMs = this.rateLimiter.take(1);
    if (waitMs > 0) await sleep(waitMs, signal);
  }
}
