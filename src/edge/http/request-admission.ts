/**
 * @file Which requests of users are served at all: none while the state store is unreachable, and only so many at once,
 * since each waits for the state store and holds memory meanwhile.
 */
import { millisecondsSince } from '../runtime/clock.js';
import type { StateStore } from '../state-store/state-store.js';
import { OVERLOADED, type RequestResult } from './request-result.js';

/** Without contact with the state store for this long, a user would only wait in vain. */
const DISCONNECTED_MS = 3000;
const MAX_REQUESTS_IN_FLIGHT = 48;

/** Admits requests. */
export class RequestAdmission {
  private inFlight = 0;

  constructor(
    private readonly stateStore: Pick<StateStore, 'lastSyncedAt'>,
    /** So little memory is left that no more requests are admitted. */
    private readonly underMemoryPressure: () => boolean,
  ) {}

  /** The state store has not answered for so long that requests are refused without asking it. */
  get disconnected(): boolean {
    return millisecondsSince(this.stateStore.lastSyncedAt) > DISCONNECTED_MS;
  }

  /** Serves a request, or refuses it if there is no room. */
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
