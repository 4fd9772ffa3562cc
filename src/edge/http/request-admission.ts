/**
 * @file Decides which of the user requests that need the state store are served: none while it is unreachable, and only
 * a limited number at once, because each one waits for the state store and holds memory in the meantime.
 */
import { millisecondsSince } from '../runtime/clock.js';
import type { StateStore } from '../state-store/state-store.js';
import { OVERLOADED, type RequestResult } from './request-result.js';

/** After this time without contact with the state store, requests are refused, because users would wait in vain. */
const DISCONNECTED_MS = 3000;
const MAX_REQUESTS_IN_FLIGHT = 48;

/** Admits or refuses user requests. */
export class RequestAdmission {
  private inFlight = 0;

  constructor(
    private readonly stateStore: Pick<StateStore, 'lastSyncedAt'>,
    /** Returns true if so little memory is left that no more requests are admitted. */
    private readonly underMemoryPressure: () => boolean,
  ) {}

  /** True if the state store has not answered for so long that requests are refused without contacting it. */
  get disconnected(): boolean {
    return millisecondsSince(this.stateStore.lastSyncedAt) > DISCONNECTED_MS;
  }

  /** Serves a request, or refuses it if too many are in flight or too little memory is left. */
  async run<T>(serve: () => Promise<RequestResult<T>>): Promise<RequestResult<T>> {
    if (this.inFlight >= MAX_REQUESTS_IN_FLIGHT || this.underMemoryPressure()) return OVERLOADED;
    this.inFlight += 1;
    try {
      return await serve();
    } finally {
      this.inFlight -= 1;
    }
  }
}
