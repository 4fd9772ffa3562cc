import type { CloudInstance, MachineType } from '../../core/model/machine.js';
import type { ScaleOutRequest } from '../../core/model/scale-out.js';
import {
  CLOUD_PATHS,
  inventoryPath,
  parseInventory,
  parseMachineTypes,
  encodeScaleOut,
  parseScaleOutResponse,
  encodeScaleIn,
} from '../../wire/cloud-protocol.js';
import { RateLimiter } from '../runtime/rate-limiter.js';
import { sleep } from '../runtime/supervised-task.js';
import { HttpClient, type Outcome } from '../net/http-client.js';
import { jittered } from '../runtime/jitter.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';

const CALL_MS = 4000;

/** The cloud's client. Calls stay below the cloud's limit and are repeated with growing pauses when refused. */
export class CloudClient {
  private readonly client: HttpClient;
  private readonly allowance: RateLimiter;

  constructor(
    addr: string,
    rps: number,
    private readonly logger: Logger,
  ) {
    this.client = new HttpClient(addr, 4);
    this.allowance = new RateLimiter(rps * 0.7, Math.max(1, rps));
  }

  async listMachineTypes(signal: AbortSignal): Promise<MachineType[] | null> {
    const outcome = await this.call('GET', CLOUD_PATHS.types, undefined, signal);
    if (outcome.kind !== 'answer' || outcome.status !== 200) return null;
    const r = parseMachineTypes(outcome.body);
    return r.ok ? r.value : this.unread(r.reason);
  }

  /** The whole list, or null if any page could not be had. */
  async listInstances(signal: AbortSignal): Promise<CloudInstance[] | null> {
    const all: CloudInstance[] = [];
    for (;;) {
      const outcome = await this.call(
        'GET',
        inventoryPath(all[all.length - 1]?.name ?? null, 500),
        undefined,
        signal,
      );
      if (outcome.kind !== 'answer' || outcome.status !== 200) return null;
      const r = parseInventory(outcome.body);
      if (!r.ok) return this.unread(r.reason);
      all.push(...r.value.machines);
      if (!r.value.more) return all;
    }
  }

  /** Rents under a name that is never used for anything else; repeated until the answer is known or time is up. */
  async scaleOut(name: string, request: ScaleOutRequest, signal: AbortSignal): Promise<string[] | null> {
    for (let n = 0; n < 4 && !signal.aborted; n++) {
      const outcome = await this.call('POST', CLOUD_PATHS.machines, encodeScaleOut(name, request), signal);
      if (outcome.kind === 'answer' && outcome.status === 200) {
        const names = parseScaleOutResponse(outcome.body);
        return names.ok ? names.value : this.unread('a rental without names');
      }
      if (outcome.kind === 'answer' && (outcome.status === 400 || outcome.status === 503)) return null;
      await sleep(jittered(400 * 2 ** n), signal);
    }
    return null;
  }

  /** `still` is asked before each try: a new owner may have put work on what we chose before we stood still. */
  async scaleIn(names: readonly string[], still: () => boolean, signal: AbortSignal): Promise<boolean> {
    for (let n = 0; n < 4 && !signal.aborted; n++) {
      const wait = this.allowance.take(1);
      if (wait > 0) await sleep(wait, signal);
      if (!still()) return false;
      const outcome = await this.client.request(
        'POST',
        CLOUD_PATHS.remove,
        encodeScaleIn(names),
        CALL_MS,
        signal,
      );
      if (outcome.kind === 'answer' && outcome.status === 200) return true;
      await sleep(jittered(400 * 2 ** n), signal);
    }
    return false;
  }

  private unread(reason: string): null {
    warnRateLimited(this.logger, { why: reason }, 'the cloud sent what cannot be read');
    return null;
  }

  private async call(method: string, path: string, body: unknown, signal: AbortSignal): Promise<Outcome> {
    const wait = this.allowance.take(1);
    if (wait > 0) await sleep(wait, signal);
    return this.client.request(method, path, body, CALL_MS, signal);
  }
}
